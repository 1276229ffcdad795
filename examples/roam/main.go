// Command roam shows read-your-writes across entry VMs: it writes through one and reads the write through
// another, to which it sends the session token. Run it against two entry VMs: roam URL URL.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"time"

	"github.com/jackc/pgx/v5"
)

func main() {
	if len(os.Args) != 3 {
		log.Fatal("usage: roam URL-OF-ONE-ENTRY-VM URL-OF-ANOTHER")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	err := roam(ctx, os.Args[1], os.Args[2])
	cancel()
	if err != nil {
		log.Fatal(err)
	}
}

func roam(ctx context.Context, first, second string) error {
	writer, err := pgx.Connect(ctx, first)
	if err != nil {
		return err
	}
	if _, err := writer.Exec(ctx, "CREATE TABLE IF NOT EXISTS roam (id bigint PRIMARY KEY)"); err != nil {
		return err
	}
	id := time.Now().UnixNano()
	if _, err := writer.Exec(ctx, "INSERT INTO roam VALUES ($1)", id); err != nil {
		return err
	}
	token := writer.PgConn().ParameterStatus("fireflyrudder.session")
	if err := writer.Close(ctx); err != nil {
		return err
	}
	config, err := pgx.ParseConfig(second)
	if err != nil {
		return err
	}
	// The token carries the position of the write, which the reads of this session must show. Without it the
	// entry VM would request the current position of the database group instead.
	config.RuntimeParams["fireflyrudder.session"] = token
	reader, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	defer reader.Close(ctx)
	var found int64
	if err := reader.QueryRow(ctx, "SELECT id FROM roam WHERE id = $1", id).Scan(&found); err != nil {
		return err
	}
	fmt.Println("read", found, "from a", reader.PgConn().ParameterStatus("fireflyrudder.served"))
	return nil
}
