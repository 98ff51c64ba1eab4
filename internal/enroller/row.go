package enroller

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// memberRow is the stored form of an entry VM.
type memberRow struct {
	Address        string       `json:"address"`
	RequestAddress string       `json:"requests"`
	PeerAddress    string       `json:"peer"`
	Domain         ident.Domain `json:"domain"`
	Region         ident.Region `json:"region"`
	// Process is the ID of the process that wrote the row.
	Process ident.ProcessID `json:"process"`
	Leaving bool            `json:"leaving"`
	Ready   bool            `json:"ready"`
	// WrittenAt is the store's clock as known to the VM at the time of the write.
	WrittenAt rows.Clock `json:"written_at"`
}

func rowID(vm ident.VMID) rows.ID { return rows.ID{Table: table, Key: rows.Key(vm)} }

// encode returns the row of a member.
func encode(m snapshot.Member, clock rows.Clock) (rows.Put, error) {
	value, err := json.Marshal(memberRow{
		Address: m.Address, RequestAddress: m.RequestAddress, PeerAddress: m.PeerAddress, Domain: m.Domain, Region: m.Region,
		Process: m.Process, Leaving: m.Leaving, Ready: m.Ready, WrittenAt: clock,
	})
	return rows.Put{ID: rowID(m.VM), Value: value}, errors.Annotatef(err, "encode row of VM %s", m.VM)
}

// decode returns the member in a row and the age of the row.
func decode(row rows.Row, clock rows.Clock) (snapshot.Member, time.Duration, error) {
	var stored memberRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return snapshot.Member{}, 0, errors.Annotatef(err, "decode row of VM %s", row.Key)
	}
	return snapshot.Member{
		VM: ident.VMID(row.Key), Process: stored.Process, Address: stored.Address, RequestAddress: stored.RequestAddress,
		PeerAddress: stored.PeerAddress, Domain: stored.Domain, Region: stored.Region, Leaving: stored.Leaving, Ready: stored.Ready,
	}, time.Duration(clock - stored.WrittenAt), nil
}

// ownRow returns the row of a VM in a transaction, false if it does not write one.
func ownRow(t rows.Transaction, vm ident.VMID) (rows.Put, bool) {
	for _, put := range t.Puts {
		if put.ID == rowID(vm) {
			return put, true
		}
	}
	return rows.Put{}, false
}
