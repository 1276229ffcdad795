// Command age reads with bounded staleness: it accepts data that is up to 2 s old, so that a replica can
// answer without waiting. Run it against an entry VM: age URL.
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
	if len(os.Args) != 2 {
		log.Fatal("usage: age URL-OF-AN-ENTRY-VM")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	err := read(ctx, os.Args[1])
	cancel()
	if err != nil {
		log.Fatal(err)
	}
}

func read(ctx context.Context, url string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "SET fireflyrudder.age = '2s'"); err != nil {
		return err
	}
	var one int
	if err := conn.QueryRow(ctx, "SELECT 1").Scan(&one); err != nil {
		return err
	}
	fmt.Println("answered by a", conn.PgConn().ParameterStatus("fireflyrudder.served"))
	return nil
}
