package main

import (
	"crypto/rand"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"fireflyrudder.example/fireflyrudder/internal/command"
	"fireflyrudder.example/fireflyrudder/internal/configuration"
	"fireflyrudder.example/fireflyrudder/internal/questionnaire"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const questionnaireLong = "Sets up a new team: write a blank questionnaire, check a filled one, and generate the configuration for apply --file."

// addQuestionnaire registers the questionnaire command and its subcommands with parser.
func addQuestionnaire(parser *flags.Parser) {
	c := command.Must(parser.AddCommand("questionnaire", "set up a new team", questionnaireLong, &struct{}{}))
	command.Must(c.AddCommand("blank", "write a blank questionnaire", "Writes a commented blank questionnaire to standard output.", &blankCommand{}))
	command.Must(c.AddCommand("check", "check a filled questionnaire", "Names the file, section, key and remedy of the first fault.", &checkCommand{}))
	command.Must(c.AddCommand("generate", "generate the configuration",
		"Writes the configuration and makes the keys. The keys in clear are written once, to a new file that only its owner can read; "+
			"the configuration has their verifiers.", &generateCommand{}))
}

// blankCommand prints a blank questionnaire.
type blankCommand struct{}

// Execute runs the command.
func (c *blankCommand) Execute([]string) error {
	_, err := fmt.Print(questionnaire.Template())
	return err
}

// checkCommand checks a completed questionnaire.
type checkCommand struct {
	File string `long:"file" required:"true" description:"filled questionnaire"`

	filled *questionnaire.Questionnaire
}

// Check returns an error that names the remedy if the questionnaire is invalid.
func (c *checkCommand) Check() error {
	filled, err := questionnaire.Read(c.File)
	c.filled = filled
	return err
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	_, err := fmt.Printf("%s: %d databases and %d accounts are valid\n", c.filled.Title, len(c.filled.Databases), len(c.filled.Accounts))
	return err
}

// generateCommand writes the configuration and the keys.
type generateCommand struct {
	checkCommand
	Keys     string `long:"keys" description:"new file for new keys in clear, one ACCOUNT/NAME KEY per line, mode 0600; needed if there are any"`
	Previous string `long:"previous" description:"configuration generated before, whose keys are kept"`
	Output   string `long:"output" description:"file for the configuration; standard output if empty"`
}

// Execute runs the command.
func (c *generateCommand) Execute([]string) error {
	var previous *wire.Configuration
	if c.Previous != "" {
		var err error
		if previous, err = configuration.Read(c.Previous); err != nil {
			return err
		}
	}
	desired, secrets, err := c.filled.Generate(rand.Reader, previous)
	if err != nil {
		return err
	}
	// The keys are written first, because a configuration is of no use without its keys in plain text.
	if len(secrets) > 0 {
		if c.Keys == "" {
			return errors.WithHint(errors.New("questionnaire: new keys were made and there is no file for them"), "name a new file with --keys")
		}
		if err := questionnaire.WriteSecrets(c.Keys, secrets); err != nil {
			return err
		}
	}
	out := io.WriteCloser(os.Stdout)
	if c.Output != "" {
		if out, err = os.Create(c.Output); err != nil {
			return errors.WithHint(errors.Wrap(err, "questionnaire: output"), "remove the file with the keys, name a file that you can write to and try again")
		}
	}
	_, err = fmt.Fprintf(out, "; %s\n\n", c.filled.Title)
	err = errors.CombineErrors(err, configuration.Write(out, desired))
	if c.Output != "" {
		err = errors.CombineErrors(err, out.Close())
	}
	return err
}
