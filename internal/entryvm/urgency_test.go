package entryvm_test

import (
	"context"
	"expvar"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/entryvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Guards against a priority that is lost between the configuration and the queue of a server, and against its use
// without the setting.
func TestPriorityOfRoute(t *testing.T) {
	cl := newCluster(t, 1, nil)
	cl.control.change(t, &wire.Edit{Edit: &wire.Edit_PutRoute{PutRoute: &wire.Route{
		Name: testRoute, Group: testGroup, Database: "db", Accounts: []string{"tide"}, Priority: 9}}})
	for _, urgency := range []bool{false, true} {
		e := cl.startEntry(func(o *entryvm.Options) { o.Entry.Urgency = urgency })
		_, err := e.connect(t, nil).Exec(context.Background(), "select 1")
		require.NoError(t, err)
		admitted := e.Vars().Get("queue_admitted").(*expvar.Map)
		require.Equal(t, urgency, admitted.Get("7") != nil, "values above 7 count as 7")
		require.Nil(t, admitted.Get("0"))
	}
}
