package entryvm

import "github.com/jackc/pgx/v5/pgproto3"

// Relay passes rows through an exchange whose caller is behind c, for measurements.
func Relay(vm *VM, pid uint32, rows int, row *pgproto3.DataRow) error {
	s := vm.sessions.find(pid)
	x := newExchange(s, &lane{}, false)
	defer x.release()
	x.expects = append(x.expects, expect{kind: 'Z'})
	for range rows {
		if err := x.take(row); err != nil {
			return err
		}
	}
	return s.conn.Flush()
}
