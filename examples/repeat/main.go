// Command repeat shows an idempotent write: it sends the write twice with the same request id, and the write
// runs once. Run it against an entry VM: repeat URL.
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
		log.Fatal("usage: repeat URL-OF-AN-ENTRY-VM")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	err := repeat(ctx, os.Args[1])
	cancel()
	if err != nil {
		log.Fatal(err)
	}
}

func repeat(ctx context.Context, url string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS claim (case_id bigint, merchant text)"); err != nil {
		return err
	}
	id := time.Now().UnixNano()
	for range 2 {
		if _, err := conn.Exec(ctx, fmt.Sprintf("SET fireflyrudder.request = 'claim-%d'", id)); err != nil {
			return err
		}
		tag, err := conn.Exec(ctx, "INSERT INTO claim VALUES ($1, 'Weinhaus')", id)
		if err != nil {
			return err
		}
		fmt.Println("outcome:", tag)
	}
	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM claim WHERE case_id = $1", id).Scan(&count); err != nil {
		return err
	}
	fmt.Println("claims:", count)
	return nil
}
