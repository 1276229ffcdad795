package renewal

// MinPause and SpendToken expose the pacing of a Client; FillRequest and ApplyReply let tests use Credits
// without a Client.
var (
	MinPause    = (*Client).minPause
	SpendToken  = (*Client).spendToken
	FillRequest = (*Credits).fillRequest
	ApplyReply  = (*Credits).applyReply
)

// TargetSelector and RenewAnswer expose the choice of the control VM for the next Renew.
type (
	TargetSelector = targetSelector
	RenewAnswer    = renewAnswer
)

// HandleAnswer and Next are the methods of TargetSelector.
var (
	HandleAnswer = (*targetSelector).handleAnswer
	Next         = (*targetSelector).next
)

// NewAnswer returns a RenewAnswer.
func NewAnswer(leader bool, redirect string, newTerm bool) RenewAnswer {
	return renewAnswer{leader: leader, redirect: redirect, newTerm: newTerm}
}
