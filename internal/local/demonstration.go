package local

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"fireflyrudder.example/fireflyrudder/internal/load"
)

// The load of the demonstration. The primary is killed while it runs.
const (
	loadDuration = 12 * time.Second
	killDelay    = 4 * time.Second
	sessions     = 12
	seed         = 1
)

// Demonstrate writes through one entry VM and reads the write through another, kills the primary under load
// and writes the report with the four measures to out. It needs two entry VMs. It returns an error if a step
// fails or the audit of the load finds a violation.
func (s *Site) Demonstrate(ctx context.Context, out io.Writer) error {
	if err := s.writeAndRead(ctx, out); err != nil {
		return errors.Wrap(err, "local: enrollment")
	}
	report, err := s.runFailover(ctx, out)
	if err != nil {
		return errors.Wrap(err, "local: failover")
	}
	report.Write(out)
	if !report.Passed {
		return errors.New("local: the audit of the load found a violation; see the report above")
	}
	return nil
}

// writeAndRead writes a row through the first entry VM and reads it through the second.
func (s *Site) writeAndRead(ctx context.Context, out io.Writer) error {
	writer, err := pgx.Connect(ctx, s.URL(0))
	if err != nil {
		return err
	}
	defer writer.Close(ctx)
	for _, sql := range []string{
		"CREATE TABLE IF NOT EXISTS enrollment (id bigint PRIMARY KEY, class text, resident text)",
		"INSERT INTO enrollment VALUES (1, 'wheel throwing', 'R. Alvarez') ON CONFLICT DO NOTHING",
	} {
		if _, err := writer.Exec(ctx, sql); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "enrolled R. Alvarez in wheel throwing through entry VM 1; a majority of the group holds it")
	reader, err := pgx.Connect(ctx, s.URL(1))
	if err != nil {
		return err
	}
	defer reader.Close(ctx)
	var resident string
	if err := reader.QueryRow(ctx, "SELECT resident FROM enrollment WHERE id = 1").Scan(&resident); err != nil {
		return err
	}
	fmt.Fprintf(out, "read %s back through entry VM 2, served by a %s\n", resident,
		reader.PgConn().ParameterStatus("fireflyrudder.served"))
	return nil
}

// runFailover runs a load, kills the primary after killDelay and returns the report of the load.
func (s *Site) runFailover(ctx context.Context, out io.Writer) (*load.Report, error) {
	workload := &load.Workload{
		Name: "local", Duration: loadDuration, Seed: seed, MaxRequests: 20_000, Deadline: waitTimeout, RoamInterval: 2 * time.Second,
		TokenShare: 0.5, RequestIDs: true,
		Accounts: []load.Account{{Name: accountName, User: accountName, Password: s.Key, Routes: []string{routeName},
			Rate: rate, Burst: burst, SendFactor: 0.5, WriteShare: 0.2, MaxAges: []time.Duration{0, 2 * time.Second}, Sessions: sessions}},
	}
	timer := time.AfterFunc(killDelay, func() {
		primary := s.Primary()
		if primary == nil {
			return
		}
		fmt.Fprintf(out, "killing the primary %s\n", primary.Status().Server)
		primary.Close()
	})
	defer timer.Stop()
	fmt.Fprintf(out, "running %v of reads and writes from %d sessions that roam between the entry VMs\n", loadDuration, sessions)
	return load.Run(ctx, workload, s.Addresses())
}
