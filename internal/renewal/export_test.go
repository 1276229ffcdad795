package renewal

// Least and Spend give tests the pace of a Client, Ask and Grant the credits without one.
var (
	Least = (*Client).least
	Spend = (*Client).spend
	Ask   = (*Credits).ask
	Grant = (*Credits).grant
)
