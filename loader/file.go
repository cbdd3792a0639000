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
	fileSetting = "settings-file"
	// maxFileBytes is the maximum size of a settings file. All settings of a node
	// together take about 2 KB.
	maxFileBytes = 1 << 20
)

// AddFile registers the setting for the path of a settings file. Flags and
// environment variables take precedence over the file.
func (l *Loader) AddFile() {
	Add(l, &l.file, fileSetting, "", Text("a path, or nothing"), "file with lines \"name = value\" of these settings, read again when it changes and on SIGHUP")
}

// File returns the path of the settings file, or "" if there is none.
func (l *Loader) File() string { return l.file }

// Notes returns messages about input that Load ignored.
func (l *Loader) Notes() []string { return l.notes }

// Changed returns the names of the settings whose text differs in next:
// reloadable ones, and those that take effect only after a restart.
func (l *Loader) Changed(next *Loader) (reloadable, restartRequired []string) {
	texts := map[string]string{}
	for _, s := range l.settings {
		texts[s.name] = s.text
	}
	for _, s := range next.settings {
		if text, ok := texts[s.name]; !ok || text == s.text {
			continue
		}
		if s.reloadable {
			reloadable = append(reloadable, s.name)
		} else {
			restartRequired = append(restartRequired, s.name)
		}
	}
	return reloadable, restartRequired
}

// fileContent is the parsed content of a settings file.
type fileContent struct {
	values map[string]string
	faults []Fault
	notes  []string
}

// readFile reads the settings file whose path is set by flag or environment
// variable. A file set by flag must exist. A file set by environment variable
// may be created later, since whole fleets share the variable.
func (l *Loader) readFile(flags *pflag.FlagSet, lookup func(string) (string, bool)) (fileContent, error) {
	fileFlag := flags.Lookup(fileSetting)
	if fileFlag == nil {
		return fileContent{}, nil
	}
	path, _ := lookup(environmentName(fileSetting))
	if fileFlag.Changed {
		path = fileFlag.Value.String()
	}
	if path == "" {
		return fileContent{}, nil
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !fileFlag.Changed {
		return fileContent{notes: []string{"settings file " + path + " does not exist"}}, nil
	}
	if err != nil {
		return fileContent{}, errors.Wrap(err, "settings file")
	}
	return l.parseFile(text), nil
}

// parseFile parses lines of the form "name = value". Empty lines and lines that
// begin with # are skipped. The last of several lines with the same name wins.
func (l *Loader) parseFile(text []byte) fileContent {
	parsed := fileContent{values: map[string]string{}}
	if len(text) > maxFileBytes || bytes.IndexByte(text, 0) >= 0 {
		parsed.faults = []Fault{{Name: fileSetting, Allowed: "lines of text, at most 1 MiB", Source: SourceFile}}
		return parsed
	}
	var unknown []string
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxFileBytes+1)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		name = strings.TrimSpace(name)
		switch {
		case !ok || name == "":
			parsed.faults = append(parsed.faults, Fault{Name: fileSetting, Value: line, Allowed: "lines name = value", Source: SourceFile})
		case name == fileSetting || !slices.ContainsFunc(l.settings, func(s *setting) bool { return s.name == name }):
			unknown = append(unknown, name)
		default:
			parsed.values[name] = strings.TrimSpace(value)
		}
	}
	if len(unknown) > 0 {
		parsed.notes = append(parsed.notes, "settings file has unknown names, which are ignored: "+strings.Join(unknown, ", "))
	}
	return parsed
}
