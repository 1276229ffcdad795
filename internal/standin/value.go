package standin

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// Value is an SQL value: nil, int64, float64, string, bool or time.Time.
type Value any

// oid identifies a PostgreSQL type.
type oid = uint32

// typeNames maps the type names of the syntax tree to types. An int2 is treated as an int4.
var typeNames = map[string]oid{
	"int2": pgtype.Int4OID, "int4": pgtype.Int4OID, "serial": pgtype.Int4OID,
	"int8": pgtype.Int8OID, "bigserial": pgtype.Int8OID,
	"text": pgtype.TextOID, "varchar": pgtype.TextOID, "bpchar": pgtype.TextOID,
	"bool": pgtype.BoolOID, "timestamptz": pgtype.TimestamptzOID, "float8": pgtype.Float8OID,
}

// timeLayouts are the accepted formats of a timestamptz.
var timeLayouts = []string{
	"2006-01-02 15:04:05.999999999Z07", "2006-01-02 15:04:05.999999999Z07:00", time.RFC3339Nano,
	"2006-01-02 15:04:05.999999999", "2006-01-02",
}

// convert converts v to a type. Types without a case of their own get the text form.
func convert(v Value, to oid) (Value, error) {
	if v == nil {
		return nil, nil
	}
	switch to {
	case pgtype.Int4OID, pgtype.Int8OID:
		return toInteger(v)
	case pgtype.Float8OID:
		return toFloat(v)
	case pgtype.BoolOID:
		return toBool(v)
	case pgtype.TimestamptzOID:
		return toTime(v)
	}
	return text(v), nil
}

func toInteger(v Value) (Value, error) {
	switch v := v.(type) {
	case int64:
		return v, nil
	case float64:
		return int64(v), nil
	case bool:
		if v {
			return int64(1), nil
		}
		return int64(0), nil
	case string:
		n, err := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
		if err == nil {
			return n, nil
		}
	}
	return nil, errInvalidText(v, "bigint")
}

func toFloat(v Value) (Value, error) {
	switch v := v.(type) {
	case int64:
		return float64(v), nil
	case float64:
		return v, nil
	case string:
		f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err == nil {
			return f, nil
		}
	}
	return nil, errInvalidText(v, "double precision")
}

func toBool(v Value) (Value, error) {
	switch v := v.(type) {
	case bool:
		return v, nil
	case int64:
		return v != 0, nil
	case string:
		switch strings.ToLower(strings.TrimSpace(v)) {
		case "t", "true", "on", "yes", "1":
			return true, nil
		case "f", "false", "off", "no", "0":
			return false, nil
		}
	}
	return nil, errInvalidText(v, "boolean")
}

func toTime(v Value) (Value, error) {
	switch v := v.(type) {
	case time.Time:
		return v, nil
	case string:
		for _, layout := range timeLayouts {
			if t, err := time.Parse(layout, v); err == nil {
				return t.UTC().Truncate(time.Microsecond), nil
			}
		}
	}
	return nil, errInvalidText(v, "timestamp with time zone")
}

func errInvalidText(v Value, typeName string) error {
	return sqlErrorf(stateInvalidText, "invalid input syntax for type %s: %q", typeName, text(v))
}

// text returns the text form of a value as PostgreSQL sends it in results.
func text(v Value) string {
	switch v := v.(type) {
	case nil:
		return ""
	case bool:
		if v {
			return "t"
		}
		return "f"
	case time.Time:
		return v.UTC().Format("2006-01-02 15:04:05.999999-07")
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return fmt.Sprint(v)
}

// compare compares two values that are not nil. Values of different types are converted by coerce.
func compare(a, b Value) (int, error) {
	a, b, err := coerce(a, b)
	if err != nil {
		return 0, err
	}
	switch a := a.(type) {
	case int64:
		return cmp.Compare(a, b.(int64)), nil
	case float64:
		return cmp.Compare(a, b.(float64)), nil
	case string:
		return cmp.Compare(a, b.(string)), nil
	case time.Time:
		return a.Compare(b.(time.Time)), nil
	case bool:
		x, y := int64(0), int64(0)
		if a {
			x = 1
		}
		if b.(bool) {
			y = 1
		}
		return cmp.Compare(x, y), nil
	}
	return 0, errUnsupported(fmt.Sprintf("comparison of %T", a))
}

// coerce converts two values to the same type. A text gets the type of the other value, and an integer
// becomes a float beside one; otherwise b gets the type of a.
func coerce(a, b Value) (Value, Value, error) {
	ta, tb := typeOfValue(a), typeOfValue(b)
	if ta == tb {
		return a, b, nil
	}
	to := ta
	if ta == pgtype.TextOID || (ta == pgtype.Int8OID && tb == pgtype.Float8OID) {
		to = tb
	}
	x, err := convert(a, to)
	if err != nil {
		return nil, nil, err
	}
	y, err := convert(b, to)
	return x, y, err
}

func typeOfValue(v Value) oid {
	switch v.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	case time.Time:
		return pgtype.TimestamptzOID
	}
	return pgtype.TextOID
}

// normalize converts a decoded parameter to a Value.
func normalize(v any) Value {
	switch v := v.(type) {
	case int16:
		return int64(v)
	case int32:
		return int64(v)
	case float32:
		return float64(v)
	case time.Time:
		return v.UTC()
	}
	return v
}

// typeSize returns the size of a fixed-size type in bytes, or -1.
func typeSize(t oid) int16 {
	switch t {
	case pgtype.BoolOID:
		return 1
	case pgtype.Int4OID:
		return 4
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestamptzOID:
		return 8
	}
	return -1
}
