package wire

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// AskZone asks the leader of the control group whether an availability zone is evacuated or that of a recorded instance. It does
// so with an order without an id, which changes nothing. The errors are those of the call; a zone that is not known is none.
func AskZone(ctx context.Context, leader ControlClient, zone string) (known bool, err error) {
	_, err = leader.Evacuate(ctx, &EvacuateRequest{Evacuation: &Evacuation{Zone: zone}})
	if status.Code(err) == codes.NotFound {
		return false, nil
	}
	return err == nil, err
}
