// Package questionnaire reads a team's description of its databases and client accounts, and generates the
// configuration from it.
//
// A questionnaire is an INI file with one section [site], a section [database NAME] for each
// database group and a section [account NAME] for each client account. Reading is strict: anything missing,
// malformed or unknown is refused with an error that names the file, the section, the key and a remedy.
package questionnaire

import (
	"time"
)

// Questionnaire is a team's description of its site. Read returns only complete and consistent ones.
type Questionnaire struct {
	Title     string
	Retired   []string   // backend servers that receive no new work
	Databases []Database // sorted by name
	Accounts  []Account  // sorted by name
}

// Database is a database group and the route to it, which has the same name.
type Database struct {
	Name         string
	Database     string // name on the backend servers
	Instances    int
	Slots        int           // concurrent statements per instance
	Connections  int           // connections per instance
	MaxStaleness time.Duration // maximum age of the data that reads accept; 0 requires current data
	Open         bool          // open to callers without a key
	Repeatable   bool          // requests may safely run twice
}

// Account is a client account.
type Account struct {
	Name      string
	Rate      float64 // statements per second, summed over all entry VMs
	Burst     float64 // statements that may arrive at once
	Weight    int     // share of slots relative to other accounts
	Keys      []string
	Databases []string // empty means all databases that are not open
}

// Template returns a commented questionnaire for the team to complete.
func Template() string {
	return `; Questionnaire for a fireflyrudder site. Fill in a value after each "=", copy the sections
; [database NAME] and [account NAME] for each database group and client account, then run:
;   fireflyrudder questionnaire check --file FILE
;   fireflyrudder questionnaire generate --file FILE --output configuration.ini --keys keys.txt
;   fireflyrudder apply --file configuration.ini
; To change a running site, amend this file and generate again with --previous configuration.ini, which
; keeps the keys that both have; keys that are no longer named are withdrawn. Add --prune to apply to drop
; databases and accounts that were removed here.
; Names have 1 to 63 letters, digits, "-", "_" or ".".

[site]
; Title of the setup, for people.
title =
; Backend servers that leave, separated by commas: they get no new work.
retired =

; One section for each database group; callers connect to it under this NAME.
[database NAME]
; Name of the database on the backend servers.
database =
; Number of instances in the group, the primary included: 3 or 5.
instances = 3
; Statements that one instance runs at the same time.
slots =
; Connections that one instance accepts. Two are kept for control, and each entry VM needs two.
connections =
; Oldest data that reads may show, such as 2s; 0s asks for current data.
stale = 0s
; yes: callers need no key.
open = no
; yes: a request may run twice without harm.
repeatable = no

; One section for each client account.
[account NAME]
; Statements per second, counted over all entry VMs.
rate =
; Statements that may come at once after a quiet time.
burst =
; Share of slots relative to other accounts.
weight = 1
; Names of the keys, separated by commas. The keys themselves are made by generate.
keys = main
; Databases that the account may use, separated by commas; empty means all that are not open.
databases =
`
}
