package statement

import (
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// RequestTable is the table in which the proxy records request ids. Callers may not access it: a modified
// record would allow a request to run twice.
const RequestTable = "fireflyrudder_request"

const ownTableReason = RequestTable + " belongs to the proxy"

// refuseStatement refuses the statements that do not work on a pooled connection, and those that act on the
// backend server itself, since all callers share the user of the system.
func refuseStatement(n *pg.Node) (Statement, bool) {
	const sharedReason = "the connection is shared between sessions"
	const directRemedy = "run it directly against the backend server"
	const hiddenReason = "a function under another name cannot be checked and is not carried"
	switch x := n.Node.(type) {
	case *pg.Node_CopyStmt:
		return unsupported("COPY is not carried", "use INSERT with several rows"), true
	case *pg.Node_ListenStmt, *pg.Node_UnlistenStmt, *pg.Node_NotifyStmt:
		// The proxy itself receives log positions by notifications, so callers must not send any.
		return unsupported("LISTEN and NOTIFY are not carried", "poll a table"), true
	case *pg.Node_DeclareCursorStmt:
		if x.DeclareCursorStmt.Options&cursorOptionHold != 0 {
			return unsupported("a cursor WITH HOLD is not carried: "+sharedReason, "use the cursor within a transaction"), true
		}
	case *pg.Node_LoadStmt, *pg.Node_AlterSystemStmt, *pg.Node_CheckPointStmt,
		*pg.Node_CreateRoleStmt, *pg.Node_AlterRoleStmt, *pg.Node_AlterRoleSetStmt, *pg.Node_DropRoleStmt,
		*pg.Node_GrantRoleStmt, *pg.Node_DropOwnedStmt, *pg.Node_ReassignOwnedStmt,
		*pg.Node_CreatedbStmt, *pg.Node_DropdbStmt, *pg.Node_AlterDatabaseStmt, *pg.Node_AlterDatabaseSetStmt,
		*pg.Node_CreateTableSpaceStmt, *pg.Node_DropTableSpaceStmt, *pg.Node_CreateExtensionStmt,
		*pg.Node_CreatePublicationStmt, *pg.Node_AlterPublicationStmt,
		*pg.Node_CreateSubscriptionStmt, *pg.Node_AlterSubscriptionStmt, *pg.Node_DropSubscriptionStmt,
		*pg.Node_CreateEventTrigStmt, *pg.Node_CreateForeignServerStmt, *pg.Node_CreateUserMappingStmt:
		return unsupported("statements that change the backend server itself are not carried", directRemedy), true
	case *pg.Node_DoStmt, *pg.Node_CreateFunctionStmt, *pg.Node_CreatePlangStmt:
		// The body is text in another language, so refused functions in it would not be detected.
		return unsupported("server-side code cannot be checked and is not carried", directRemedy), true
	case *pg.Node_CreateCastStmt, *pg.Node_CreateTransformStmt:
		return unsupported(hiddenReason, directRemedy), true
	case *pg.Node_DefineStmt:
		if kind := x.DefineStmt.Kind; kind == pg.ObjectType_OBJECT_AGGREGATE || kind == pg.ObjectType_OBJECT_OPERATOR {
			return unsupported(hiddenReason, directRemedy), true
		}
	case *pg.Node_RenameStmt:
		switch x.RenameStmt.RenameType {
		case pg.ObjectType_OBJECT_FUNCTION, pg.ObjectType_OBJECT_PROCEDURE, pg.ObjectType_OBJECT_ROUTINE:
			return unsupported(hiddenReason, directRemedy), true
		}
		if x.RenameStmt.Newname == RequestTable {
			return unsupported(ownTableReason, "choose another name"), true
		}
	case *pg.Node_DropStmt:
		// In a DROP, objects are lists of strings and not a RangeVar.
		for _, object := range x.DropStmt.Objects {
			if _, name := qualified(object.GetList().GetItems()); name == RequestTable {
				return unsupported(ownTableReason, "leave the table in place"), true
			}
		}
	case *pg.Node_VariableSetStmt:
		if name := strings.ToLower(x.VariableSetStmt.Name); name == "role" || name == "session_authorization" {
			return unsupported("all sessions run as the system's own user", "remove the statement"), true
		}
	}
	return Statement{}, false
}

// refuseParameter refuses parameter values with which a backend server would parse a text differently from the
// parser here: a statement classified as a read could then be another statement. It also refuses parameters
// that a session must not change.
func refuseParameter(name, value string) (reason, remedy string) {
	value = strings.ToLower(value)
	switch name {
	case "role", "session_authorization":
		return "all sessions run as the system's own user", "remove the statement"
	case "standard_conforming_strings":
		if value != "on" && value != "true" && value != "1" && value != "yes" {
			return "standard_conforming_strings is always on", "use E'' strings for escapes"
		}
	case "client_encoding", "names":
		if value != "utf8" && value != "utf-8" && value != "unicode" {
			return "only client_encoding UTF8 is carried", "convert the text to UTF-8"
		}
	case "session_replication_role", "synchronous_commit":
		return name + " cannot be changed by a session", "remove the statement"
	}
	return "", ""
}

// refuseFunction refuses functions that act on the backend server, run SQL given as text, or leave state on a
// shared connection.
func refuseFunction(name string, args []*pg.Node) (reason, remedy string) {
	switch name {
	case "group_status", "group_fence", "group_promote", "group_follow", "group_terminate":
		return name + " belongs to the failover procedure", "use the command fireflyrudder apply for a switchover"
	case "pg_notify":
		return "LISTEN and NOTIFY are not carried", "poll a table"
	case "pg_advisory_lock", "pg_advisory_lock_shared", "pg_try_advisory_lock", "pg_try_advisory_lock_shared",
		"pg_advisory_unlock", "pg_advisory_unlock_shared", "pg_advisory_unlock_all":
		return "session advisory locks are not carried: the connection is shared between sessions",
			"use pg_advisory_xact_lock within a transaction"
	case "set_config":
		return refuseSetConfig(args)
	case "query_to_xml", "query_to_xmlschema", "query_to_xml_and_xmlschema", "cursor_to_xml", "ts_stat", "ts_rewrite",
		"dblink", "dblink_exec", "dblink_connect", "dblink_send_query", "dblink_open", "database_to_xml":
		return name + " runs SQL that cannot be checked", "send the SQL as a statement"
	}
	for _, prefix := range [...]string{
		"pg_terminate_", "pg_cancel_", "pg_reload_", "pg_rotate_", "pg_promote", "pg_switch_", "pg_wal_", "pg_create_",
		"pg_drop_", "pg_logical_", "pg_replication_", "pg_copy_", "pg_backup_", "pg_start_backup", "pg_stop_backup",
		"pg_read_", "pg_ls_", "pg_stat_file", "pg_stat_reset", "pg_file_", "lo_import", "lo_export", "pg_log_",
		"pg_export_snapshot",
	} {
		if strings.HasPrefix(name, prefix) {
			return name + " acts on the backend server itself", "run it directly against the backend server"
		}
	}
	return "", ""
}

// refuseSetConfig allows only set_config(constant, ..., true), whose effect ends with the transaction.
func refuseSetConfig(args []*pg.Node) (reason, remedy string) {
	const local = "use set_config with a constant name and true as third argument"
	if len(args) != 3 {
		return "set_config is carried only with three arguments", local
	}
	name := args[0].GetAConst().GetSval().GetSval()
	if name == "" || !isTrue(args[2]) {
		return "set_config of a session is not carried", local
	}
	// A value that is not a string constant reads as "" here, which the checked parameters do not accept.
	value := args[1].GetAConst().GetSval().GetSval()
	return refuseParameter(strings.ToLower(name), value)
}

func isTrue(n *pg.Node) bool {
	return n.GetAConst().GetBoolval().GetBoolval()
}

// refuseTable refuses temporary tables and the proxy's own table.
func refuseTable(r *pg.RangeVar) (reason, remedy string) {
	if r.Relname == RequestTable {
		return ownTableReason, "use the parameter fireflyrudder.request"
	}
	if r.Relpersistence == "t" || r.Schemaname == "pg_temp" || strings.HasPrefix(r.Schemaname, "pg_temp_") {
		return "temporary tables are not carried: the connection is shared between sessions",
			"use WITH or an ordinary table"
	}
	return "", ""
}
