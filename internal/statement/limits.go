package statement

import (
	"strings"
	"unicode/utf8"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// Limits of a text. The parser serializes its tree recursively in C without checking the stack: a chain of
// 100,000 operators, such as 1+1+1, crashed the process with a segmentation fault.
const (
	// MaxLength is the length in bytes of the longest text that is parsed.
	MaxLength = 1 << 20
	// MaxDepth is the maximum length of a chain of operators and keywords in a text longer than
	// maxUncheckedLength.
	MaxDepth = 4000
	// maxUncheckedLength is the length in bytes of the longest text that is parsed without checking its chains.
	// A link of a chain takes at least two bytes; 20,000 links were parsed without a fault on an 8 MiB stack.
	maxUncheckedLength = 16 << 10
)

// outsideLimits returns why a text must not be passed to the parser, or "" if it may.
func outsideLimits(sql string) string {
	switch {
	case len(sql) > MaxLength:
		return "the statement is longer than 1 MiB"
	case strings.IndexByte(sql, 0) >= 0:
		// The parser stops at a zero byte, but a backend server might not.
		return "the statement contains a zero byte"
	case !utf8.ValidString(sql):
		return "the statement is not valid UTF-8"
	case len(sql) > maxUncheckedLength && tooDeep(sql):
		return "the statement is too deeply nested"
	}
	return ""
}

// tooDeep reports whether the parse tree may be deeper than MaxDepth. It examines only the tokens, which the
// parser scans without recursion. A text that cannot be scanned is left to the parser, which reports the error.
func tooDeep(sql string) bool {
	scan, err := pg.Scan(sql)
	if err != nil {
		return false
	}
	var d depth
	for _, token := range scan.Tokens {
		d.add(token)
		if d.total > MaxDepth {
			return true
		}
	}
	return false
}

// depth computes an upper bound of the depth of the parse tree from the tokens. A link is a token that may add
// a level to the tree; brackets open a nesting level with a chain of its own.
type depth struct {
	total     int   // links of the open chains on all nesting levels
	current   int   // links of the chain on the innermost nesting level
	enclosing []int // links of the chains on the enclosing nesting levels
}

func (d *depth) add(token *pg.ScanToken) {
	switch token.Token {
	case pg.Token_ASCII_40, pg.Token_ASCII_91: // ( [
		d.enclosing = append(d.enclosing, d.current)
		d.current = 0
		d.addLink()
	case pg.Token_ASCII_41, pg.Token_ASCII_93: // ) ]
		d.total -= d.current
		d.current = 0
		if n := len(d.enclosing); n > 0 {
			d.current = d.enclosing[n-1]
			d.enclosing = d.enclosing[:n-1]
		}
	case pg.Token_ASCII_44: // a comma ends the expressions of its level
		d.total -= d.current
		d.current = 0
	case pg.Token_ASCII_59: // ; ends the statement
		*d = depth{enclosing: d.enclosing[:0]}
	case pg.Token_UNION, pg.Token_INTERSECT, pg.Token_EXCEPT:
		// A chain of set operations continues across commas, so its links are never subtracted.
		d.total++
	case pg.Token_AND, pg.Token_OR, pg.Token_IDENT, pg.Token_ICONST, pg.Token_FCONST, pg.Token_SCONST,
		pg.Token_BCONST, pg.Token_XCONST, pg.Token_PARAM, pg.Token_ASCII_46, pg.Token_SQL_COMMENT, pg.Token_C_COMMENT:
		// The parser flattens AND and OR; the others add no depth.
	default:
		d.addLink()
	}
}

func (d *depth) addLink() {
	d.current++
	d.total++
}
