package renewal

// Least and Spend give tests the pace of a Client, Ask and Grant the credits without one.
var (
	Least = (*Client).least
	Spend = (*Client).spend
	Ask   = (*Credits).ask
	Grant = (*Credits).grant
)

// Course and Answer give tests the order in which control VMs are asked.
type (
	Course = course
	Answer = answer
)

// Heard and Next are the decisions of a Course.
var (
	Heard = (*course).heard
	Next  = (*course).next
)

// Reply returns an Answer.
func Reply(leader bool, redirect string, learned bool) Answer {
	return answer{leader: leader, redirect: redirect, learned: learned}
}
