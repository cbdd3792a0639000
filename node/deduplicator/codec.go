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

// toGranted encodes a grant without its records. Times are sent as ages, since the
// clocks of two instances differ.
func toGranted(now time.Time, grant Grant) *Granted {
	message := &Granted{
		Granted: grant.Granted, Set: toProcesses(grant.Set), Joining: grant.Joining, Doubtful: grant.HistoryIncomplete,
	}
	for _, past := range grant.Past {
		message.Past = append(message.Past, &Past{Set: toProcesses(past.set), AgeMs: now.Sub(past.replacedAt).Milliseconds()})
	}
	for member, done := range grant.Handoffs {
		message.Seals = append(message.Seals, &Sealed{
			Member: toProcess(member), Set: toProcesses(done.set), AgeMs: now.Sub(done.at).Milliseconds(),
		})
	}
	return message
}

func fromGranted(now time.Time, message *Granted) (Grant, error) {
	if message == nil || len(message.GetPast()) > maxMemberSets || len(message.GetSeals()) > maxMemberSets {
		return Grant{}, errProtocol
	}
	grant := Grant{
		Granted: message.GetGranted(), Set: fromProcesses(message.GetSet()), Joining: message.GetJoining(),
		HistoryIncomplete: message.GetDoubtful(), Handoffs: map[Member]handoff{},
	}
	at := func(ageMs int64) time.Time { return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond) }
	for _, past := range message.GetPast() {
		grant.Past = append(grant.Past, pastSet{set: fromProcesses(past.GetSet()), replacedAt: at(past.GetAgeMs())})
	}
	for _, sealed := range message.GetSeals() {
		grant.Handoffs[fromProcess(sealed.GetMember())] = handoff{set: fromProcesses(sealed.GetSet()), at: at(sealed.GetAgeMs())}
	}
	return grant, nil
}

// writeRecords sends records in batches of bounded size. The last batch is marked
// and may be empty.
func writeRecords(stream net.Conn, records []Record) error {
	batch, size := &Records{}, 0
	for _, record := range records {
		batch.Entries = append(batch.Entries, &Entry{
			Key: []byte(record.Key.Name), Print: record.Key.Fingerprint,
			Certain: record.Certain, Kept: record.Kept, Response: record.Response,
		})
		if size += len(record.Key.Name) + len(record.Response); size >= maxBatchBytes || len(batch.Entries) >= maxBatchRecords {
			if err := write(stream, &Frame{Kind: &Frame_Records{Records: batch}}); err != nil {
				return err
			}
			batch, size = &Records{}, 0
		}
	}
	batch.Last = true
	return write(stream, &Frame{Kind: &Frame_Records{Records: batch}})
}

// readRecords reads batches of records up to the last one. first is a batch that
// has been read already, or nil.
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
		if len(records) > Defaults.Keys+Defaults.Tombstones || responses > Defaults.Bytes {
			return nil, errProtocol
		}
		frame, err := encoder.Read[Frame](stream, maxFrameBytes)
		if err != nil {
			return nil, err
		}
		if batch = frame.GetRecords(); batch == nil {
			return nil, errProtocol
		}
	}
}
