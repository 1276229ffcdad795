package renewal

// Least and Spend give tests the pace of a Client.
var (
	Least = (*Client).least
	Spend = (*Client).spend
)
