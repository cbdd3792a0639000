package loader

import (
	"bufio"
	"bytes"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

const (
	nameFile = "settings-file"
	// fileBytes bounds a settings file. All settings of a node together take
	// some 2 KB.
	fileBytes = 1 << 20
)

// AddFile registers the setting that names a file with further settings. Flags
// and environment variables take precedence over it.
func (l *Loader) AddFile() {
	Add(l, &l.file, nameFile, "", Text("a path, or nothing"), "file with lines \"name = value\" of these settings, read again when it changes and on SIGHUP")
}

// File returns the path of the settings file, empty without one.
func (l *Loader) File() string { return l.file }

// Notes returns what Load ignored.
func (l *Loader) Notes() []string { return l.notes }

// Changed returns the names of the settings whose text differs in next, those
// that take effect in a running process and those that don't.
func (l *Loader) Changed(next *Loader) (running, start []string) {
	texts := map[string]string{}
	for _, s := range l.settings {
		texts[s.name] = s.text
	}
	for _, s := range next.settings {
		if text, ok := texts[s.name]; !ok || text == s.text {
			continue
		}
		if s.reloadable {
			running = append(running, s.name)
		} else {
			start = append(start, s.name)
		}
	}
	return running, start
}

// content is a settings file.
type content struct {
	values map[string]string
	faults []Fault
	notes  []string
}

// readFile reads the settings file that flags or variables name. A file that a
// flag names has to exist when the process starts; one that a variable names,
// which whole fleets share, may come later.
func (l *Loader) readFile(flags *pflag.FlagSet, lookup func(string) (string, bool)) (content, error) {
	named := flags.Lookup(nameFile)
	if named == nil {
		return content{}, nil
	}
	path, _ := lookup(variable(nameFile))
	if named.Changed {
		path = named.Value.String()
	}
	if path == "" {
		return content{}, nil
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !named.Changed {
		return content{notes: []string{"settings file " + path + " does not exist"}}, nil
	}
	if err != nil {
		return content{}, errors.Wrap(err, "settings file")
	}
	return l.parseFile(text), nil
}

// parseFile reads lines "name = value". Empty lines and those that begin with #
// are comments; the last line with a name counts.
func (l *Loader) parseFile(text []byte) content {
	read := content{values: map[string]string{}}
	if len(text) > fileBytes || bytes.IndexByte(text, 0) >= 0 {
		read.faults = []Fault{{Name: nameFile, Allowed: "lines of text, at most 1 MiB", Source: SourceFile}}
		return read
	}
	var unknown []string
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, fileBytes+1)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		name = strings.TrimSpace(name)
		switch {
		case !ok || name == "":
			read.faults = append(read.faults, Fault{Name: nameFile, Value: line, Allowed: "lines name = value", Source: SourceFile})
		case name == nameFile || !slices.ContainsFunc(l.settings, func(s *setting) bool { return s.name == name }):
			unknown = append(unknown, name)
		default:
			read.values[name] = strings.TrimSpace(value)
		}
	}
	if len(unknown) > 0 {
		read.notes = append(read.notes, "settings file has unknown names, which are ignored: "+strings.Join(unknown, ", "))
	}
	return read
}
