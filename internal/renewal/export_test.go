package renewal

// MinPause and SpendToken give tests the pace of a Client, FillRequest and ApplyReply the credits without one.
var (
	MinPause    = (*Client).minPause
	SpendToken  = (*Client).spendToken
	FillRequest = (*Credits).fillRequest
	ApplyReply  = (*Credits).applyReply
)

// TargetSelector and RenewAnswer give tests the order in which control VMs are asked.
type (
	TargetSelector = targetSelector
	RenewAnswer    = renewAnswer
)

// HandleAnswer and Next are the decisions of a TargetSelector.
var (
	HandleAnswer = (*targetSelector).handleAnswer
	Next         = (*targetSelector).next
)

// NewAnswer returns an RenewAnswer.
func NewAnswer(leader bool, redirect string, newTerm bool) RenewAnswer {
	return renewAnswer{leader: leader, redirect: redirect, newTerm: newTerm}
}
