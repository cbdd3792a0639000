package deduplicator

import (
	"net"
	"time"

	"sycamorerun/encoder"
)

func toProcess(member Member) *Process {
	return &Process{Name: member.Name, Boot: member.Boot}
}

func fromProcess(process *Process) Member {
	return Member{Name: process.GetName(), Boot: process.GetBoot()}
}

func toProcesses(set []Member) []*Process {
	processes := make([]*Process, len(set))
	for i, member := range set {
		processes[i] = toProcess(member)
	}
	return processes
}

func fromProcesses(processes []*Process) []Member {
	set := make([]Member, len(processes))
	for i, process := range processes {
		set[i] = fromProcess(process)
	}
	return set
}

// toGranted describes a grant but for its records. Times travel as ages, since
// the clocks of two instances differ.
func toGranted(now time.Time, grant Grant) *Granted {
	message := &Granted{
		Granted: grant.Granted, Set: toProcesses(grant.Set), Joining: grant.Joining, Doubtful: grant.Doubtful,
	}
	for _, past := range grant.Past {
		message.Past = append(message.Past, &Past{Set: toProcesses(past.set), AgeMs: now.Sub(past.until).Milliseconds()})
	}
	for member, known := range grant.Seals {
		message.Seals = append(message.Seals, &Sealed{
			Member: toProcess(member), Set: toProcesses(known.set), AgeMs: now.Sub(known.at).Milliseconds(),
		})
	}
	return message
}

func fromGranted(now time.Time, message *Granted) (Grant, error) {
	if message == nil || len(message.GetPast()) > setsMax || len(message.GetSeals()) > setsMax {
		return Grant{}, errProtocol
	}
	grant := Grant{
		Granted: message.GetGranted(), Set: fromProcesses(message.GetSet()), Joining: message.GetJoining(),
		Doubtful: message.GetDoubtful(), Seals: map[Member]seal{},
	}
	at := func(ageMs int64) time.Time { return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond) }
	for _, past := range message.GetPast() {
		grant.Past = append(grant.Past, members{set: fromProcesses(past.GetSet()), until: at(past.GetAgeMs())})
	}
	for _, known := range message.GetSeals() {
		grant.Seals[fromProcess(known.GetMember())] = seal{set: fromProcesses(known.GetSet()), at: at(known.GetAgeMs())}
	}
	return grant, nil
}

// writeRecords sends records in frames of bounded size.
func writeRecords(stream net.Conn, records []Record) error {
	batch, size := &Records{}, 0
	for _, record := range records {
		batch.Entries = append(batch.Entries, &Entry{
			Key: []byte(record.Key.Name), Print: record.Key.Fingerprint,
			Certain: record.Certain, Kept: record.Kept, Response: record.Response,
		})
		if size += len(record.Key.Name) + len(record.Response); size >= batchBytes || len(batch.Entries) >= batchCount {
			if err := write(stream, &Frame{Kind: &Frame_Records{Records: batch}}); err != nil {
				return err
			}
			batch, size = &Records{}, 0
		}
	}
	batch.Last = true
	return write(stream, &Frame{Kind: &Frame_Records{Records: batch}})
}

// readRecords reads up to the last batch; first is one that has been read.
func readRecords(stream net.Conn, first *Records) ([]Record, error) {
	var records []Record
	responses := 0
	for batch := first; ; {
		for _, entry := range batch.GetEntries() {
			responses += len(entry.GetResponse())
			records = append(records, Record{
				Key:     Key{Name: string(entry.GetKey()), Fingerprint: entry.GetPrint()},
				Certain: entry.GetCertain(), Kept: entry.GetKept(), Response: entry.GetResponse(),
			})
		}
		if batch.GetLast() {
			return records, nil
		}
		if len(records) > Defaults.Keys+Defaults.Traces || responses > Defaults.Bytes {
			return nil, errProtocol
		}
		frame, err := encoder.Read[Frame](stream, frameBytes)
		if err != nil {
			return nil, err
		}
		if batch = frame.GetRecords(); batch == nil {
			return nil, errProtocol
		}
	}
}
