package settings

import (
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/apex/log/handlers/text"
)

// Apply configures the process-wide logger, which writes to standard error.
func (l *Log) Apply() {
	switch l.Format {
	case "json":
		log.SetHandler(json.New(os.Stderr))
	case "text":
		log.SetHandler(text.New(os.Stderr))
	default:
		log.SetHandler(logfmt.New(os.Stderr))
	}
	log.SetLevelFromString(l.Level)
}
