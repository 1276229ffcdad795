package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/configuration"
	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const applyLong = "Changes the configuration: adds or replaces everything in an INI file, or makes single amendments. " +
	"The change takes effect only on the version it was made for. After a lost answer, repeat the command with the id " +
	"that it printed and the same --base: the change then takes effect at most once."

// applyCommand changes the configuration in the control group.
type applyCommand struct {
	controlOptions
	File        string   `long:"file" description:"INI file with sections [group NAME], [account NAME], [key ACCOUNT/NAME], [route NAME]"`
	Prune       bool     `long:"prune" description:"also drop routes, accounts and groups that the file does not have"`
	PutKey      []string `long:"put-key" description:"add a key: ACCOUNT/NAME=VERIFIER; repeat"`
	WithdrawKey []string `long:"withdraw-key" description:"withdraw a key: ACCOUNT/NAME; repeat"`
	DropAccount []string `long:"drop-account" description:"drop a client account; repeat"`
	DropRoute   []string `long:"drop-route" description:"drop a route; repeat"`
	DropGroup   []string `long:"drop-group" description:"drop a database group; repeat"`
	Retire      []string `long:"retire" description:"give a backend server no new work; repeat"`
	Restore     []string `long:"restore" description:"take a backend server out of retirement; repeat"`
	ID          string   `long:"id" description:"id of the change, to resend it after a lost answer; random if empty"`
	Base        *uint64  `long:"base" description:"version that the change was made for; the current one if not given"`
	Operator    string   `long:"operator" env:"USER" description:"who makes the change"`

	ctx     context.Context
	globals *globals
	desired *wire.Configuration // configuration in File
	edits   []*wire.Edit
}

// Check returns an error that names the remedy if the change is malformed.
func (c *applyCommand) Check() error {
	if err := c.controlOptions.Check(); err != nil {
		return err
	}
	c.edits = nil
	if c.File != "" {
		desired, err := configuration.Read(c.File)
		if err != nil {
			return err
		}
		c.desired = desired
		c.edits = configuration.Edits(desired)
	}
	if c.Prune && c.File == "" {
		return errors.WithHint(errors.New("apply: --prune needs --file"), "name the file with the whole configuration")
	}
	if err := c.addAmendments(); err != nil {
		return err
	}
	if len(c.edits) == 0 && !c.Prune {
		return errors.WithHint(errors.New("apply: nothing to change"), "give --file or an amendment such as --withdraw-key ACCOUNT/NAME")
	}
	return nil
}

// addAmendments adds the edits of the flags that change a single object.
func (c *applyCommand) addAmendments() error {
	for _, text := range c.PutKey {
		name, verifier, ok := strings.Cut(text, "=")
		account, key, err := keyName(name)
		if err != nil || !ok {
			return errors.WithHint(errors.Newf("apply: --put-key %s is malformed", name), "write --put-key ACCOUNT/NAME=VERIFIER")
		}
		k := &wire.KeyEdit{Account: account, Key: &wire.Key{Name: key, Verifier: verifier}}
		c.addEdit(&wire.Edit{Edit: &wire.Edit_PutKey{PutKey: k}})
	}
	for _, name := range c.WithdrawKey {
		account, key, err := keyName(name)
		if err != nil {
			return err
		}
		c.addEdit(&wire.Edit{Edit: &wire.Edit_WithdrawKey{WithdrawKey: &wire.KeyName{Account: account, Key: key}}})
	}
	for _, name := range c.DropRoute {
		c.addEdit(&wire.Edit{Edit: &wire.Edit_DropRoute{DropRoute: name}})
	}
	for _, name := range c.DropAccount {
		c.addEdit(&wire.Edit{Edit: &wire.Edit_DropAccount{DropAccount: name}})
	}
	for _, name := range c.DropGroup {
		c.addEdit(&wire.Edit{Edit: &wire.Edit_DropGroup{DropGroup: name}})
	}
	for _, name := range c.Retire {
		c.addEdit(&wire.Edit{Edit: &wire.Edit_RetireServer{RetireServer: name}})
	}
	for _, name := range c.Restore {
		c.addEdit(&wire.Edit{Edit: &wire.Edit_RestoreServer{RestoreServer: name}})
	}
	return nil
}

func (c *applyCommand) addEdit(e *wire.Edit) {
	c.edits = append(c.edits, e)
}

// keyName splits ACCOUNT/NAME.
func keyName(text string) (account, key string, err error) {
	account, key, ok := strings.Cut(text, "/")
	if !ok || account == "" || key == "" {
		return "", "", errors.WithHint(errors.Newf("apply: key %q is malformed", text), "write ACCOUNT/NAME")
	}
	return account, key, nil
}

// Execute runs the command.
func (c *applyCommand) Execute([]string) error {
	if c.ID == "" {
		c.ID = rand.Text()
	}
	return c.withClient(c.ctx, c.globals, func(ctx context.Context, client *controlvm.Client) error {
		base, err := c.baseVersion(ctx, client)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "change %s on version %d\n", c.ID, base)
		d, err := client.Apply(ctx, &wire.Change{Id: c.ID, Base: base, Operator: c.Operator, Edits: c.edits})
		if err != nil {
			return err
		}
		return reportDecision(d)
	})
}

// baseVersion returns the version that the change is based on. With --prune it also adds the edits that drop
// what the file does not have.
func (c *applyCommand) baseVersion(ctx context.Context, client *controlvm.Client) (uint64, error) {
	if c.Base != nil && !c.Prune {
		return *c.Base, nil
	}
	reply, err := client.Status(ctx)
	if err != nil {
		return 0, err
	}
	if reply.Configuration == nil {
		return 0, errors.WithHint(errors.New("apply: no leader shows the current version"), "see fireflyrudder status, then try again")
	}
	if c.Prune {
		c.edits = append(c.edits, configuration.Prune(reply.Configuration, c.desired)...)
	}
	if c.Base != nil {
		return *c.Base, nil
	}
	return reply.Configuration.Version, nil
}

// reportDecision prints an accepted change and returns an error for any other decision.
func reportDecision(d *wire.Decision) error {
	switch d.GetVerdict() {
	case wire.Verdict_VERDICT_ACCEPTED:
		fmt.Printf("change %s accepted as version %d\n", d.Change, d.Version)
		return nil
	case wire.Verdict_VERDICT_CONFLICT:
		err := errors.Newf("apply: change %s lost against change %s, which made version %d", d.Change, d.Winner, d.Version)
		return errors.Mark(errors.WithHint(err, d.Remedy), errConflict)
	}
	return errors.WithHint(errors.Newf("apply: change %s is not valid", d.GetChange()), d.GetRemedy())
}
