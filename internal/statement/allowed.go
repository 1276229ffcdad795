package statement

import (
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// readNodes are the parse tree messages that a read may contain. LockingClause, IntoClause,
// RangeTableSample and all statements other than SelectStmt are excluded on purpose.
var readNodes = messageSet(`
Node SelectStmt ResTarget ColumnRef A_Star A_Const Integer Float Boolean String BitString ParamRef List
RangeVar RangeSubselect RangeFunction Alias JoinExpr SubLink
A_Expr BoolExpr NullTest BooleanTest CaseExpr CaseWhen CoalesceExpr MinMaxExpr NullIfExpr
FuncCall NamedArgExpr TypeCast TypeName ColumnDef CollateClause
SortBy WindowDef WithClause CommonTableExpr CTESearchClause CTECycleClause
A_ArrayExpr A_Indirection A_Indices RowExpr GroupingSet GroupingFunc SQLValueFunction
`)

// readFunctions are functions of pg_catalog without side effects. Functions that advance a sequence,
// assign a transaction id, acquire locks, run SQL given as text or access files are excluded. An unqualified
// name resolves to pg_catalog first unless an overload of the same name matches the argument types better;
// the read-only transaction on the replica rejects any write of such an overload.
var readFunctions = stringSet(`
abs acos acosd acosh asin asind asinh atan atan2 atan2d atand atanh cbrt ceil ceiling cos cosd cosh cot cotd degrees
div exp factorial floor gcd lcm ln log log10 min_scale mod pi power radians random round scale sign sin sind sinh sqrt
tan tand tanh trim_scale trunc width_bucket int2 int4 int8 float4 float8 numeric text varchar bpchar bool
ascii bit_length btrim char_length character_length chr concat concat_ws convert convert_from convert_to decode
encode format initcap is_normalized left length like_escape lower lpad ltrim md5 normalize octet_length overlay
parse_ident position quote_ident quote_literal quote_nullable regexp_count regexp_instr regexp_like regexp_match
regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse right
rpad rtrim sha224 sha256 sha384 sha512 similar_escape similar_to_escape split_part starts_with string_to_array
string_to_table strpos substr substring to_ascii to_bin to_hex to_oct translate unistr upper
get_bit get_byte set_bit set_byte bit_count crc32 crc32c
age clock_timestamp date_add date_bin date_part date_subtract date_trunc extract isfinite justify_days justify_hours
justify_interval make_date make_interval make_time make_timestamp make_timestamptz now overlaps
statement_timestamp timeofday timezone to_char to_date to_number to_timestamp transaction_timestamp
date timestamp timestamptz time timetz interval
enum_first enum_last enum_range num_nonnulls num_nulls
json_array_elements json_array_elements_text json_array_length json_build_array json_build_object json_each
json_each_text json_extract_path json_extract_path_text json_object json_object_keys json_strip_nulls json_typeof
jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each
jsonb_each_text jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_keys
jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first jsonb_pretty
jsonb_set jsonb_set_lax jsonb_strip_nulls jsonb_typeof row_to_json to_json to_jsonb array_to_json
array_append array_cat array_dims array_fill array_length array_lower array_ndims array_position array_positions
array_prepend array_remove array_replace array_sample array_shuffle array_to_string array_upper cardinality
generate_series generate_subscripts trim_array unnest
lower_inc lower_inf isempty upper_inc upper_inf range_merge multirange
int4range int8range numrange tsrange tstzrange daterange
abbrev broadcast family host hostmask inet_same_family masklen netmask network set_masklen
to_tsquery to_tsvector plainto_tsquery phraseto_tsquery websearch_to_tsquery ts_headline ts_rank ts_rank_cd setweight
strip numnode querytree tsvector_to_array array_to_tsvector
area center diameter height width point box circle lseg path polygon radius slope npoints
gen_random_uuid
array_agg avg bit_and bit_or bit_xor bool_and bool_or count every json_agg json_object_agg jsonb_agg jsonb_object_agg
max min range_agg range_intersect_agg string_agg sum any_value corr covar_pop covar_samp regr_avgx regr_avgy
regr_count regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy stddev stddev_pop stddev_samp variance var_pop
var_samp mode percentile_cont percentile_disc
row_number rank dense_rank percent_rank cume_dist ntile lag lead first_value last_value nth_value
current_catalog current_database current_query current_schema current_schemas current_setting version
col_description obj_description shobj_description format_type pg_char_to_encoding pg_encoding_to_char
pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_function_arguments pg_get_function_identity_arguments
pg_get_function_result pg_get_indexdef pg_get_keywords pg_get_partkeydef pg_get_ruledef pg_get_serial_sequence
pg_get_statisticsobjdef pg_get_triggerdef pg_get_userbyid pg_get_viewdef pg_is_in_recovery pg_typeof
pg_table_is_visible pg_type_is_visible pg_function_is_visible pg_operator_is_visible pg_opclass_is_visible
pg_collation_is_visible pg_column_size pg_database_size pg_indexes_size pg_relation_size pg_size_bytes pg_size_pretty
pg_table_size pg_total_relation_size pg_tablespace_size pg_relation_is_publishable pg_index_column_has_property
has_any_column_privilege has_column_privilege has_database_privilege has_function_privilege has_schema_privilege
has_sequence_privilege has_table_privilege pg_has_role
to_regclass to_regnamespace to_regoper to_regoperator to_regproc to_regprocedure to_regrole to_regtype
pg_sleep
`)

// readOperators are the operators of pg_catalog that a read may use.
var readOperators = stringSet(`
= <> != < > <= >= + - * / % ^ || ~ !~ ~* !~* ~~ !~~ ~~* !~~* & | # << >> <<= >>= |/ ||/ @ !!
-> ->> #> #>> #- ? ?| ?& @> <@ @? @@ && -|- &< &> <-> ~= &&& ^@
`)

// readTypes are the types of pg_catalog that a read may cast to. A cast to any other type may run a
// function of its owner.
var readTypes = stringSet(`
bool bytea char bpchar varchar text name int2 int4 int8 float4 float8 numeric money oid
date time timetz timestamp timestamptz interval uuid json jsonb jsonpath xml bit varbit
inet cidr macaddr macaddr8 point line lseg box path polygon circle tsvector tsquery
int4range int8range numrange tsrange tstzrange daterange int4multirange int8multirange nummultirange
regclass regtype regproc regprocedure regnamespace regrole regoper regoperator regconfig regdictionary
pg_lsn xid xid8 cid tid oidvector int2vector record unknown
`)

func stringSet(text string) map[string]bool {
	set := make(map[string]bool)
	for _, word := range strings.Fields(text) {
		set[word] = true
	}
	return set
}

func messageSet(text string) map[protoreflect.Name]bool {
	set := make(map[protoreflect.Name]bool)
	for _, word := range strings.Fields(text) {
		set[protoreflect.Name(word)] = true
	}
	return set
}
