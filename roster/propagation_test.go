package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/peer"
)

const (
	// simulatedNodes is the number of nodes of a simulated zone. The first two are its
	// readers, the last one is healthy.
	simulatedNodes = 6
	// roundTrip is the time of a query or a read of the service.
	roundTrip = 10 * time.Millisecond
	// watchWait and watchTimeout are those of a watch of the service.
	watchWait    = 500 * time.Millisecond
	watchTimeout = 1500 * time.Millisecond
	// leadStep is the step of the times from the beginning of a fault to the write of the
	// configuration.
	leadStep = 250 * time.Millisecond
)

// nodeFault is what is wrong with a node. The zero value is a healthy node.
type nodeFault struct {
	// isSilent is set if queries of the node get no answer.
	isSilent bool
	// refusesQueries is set if queries fail at once, as after the end of the process.
	refusesQueries bool
	// answersAfter delays the answer of a query.
	answersAfter time.Duration
	// serviceIsSilent is set if the node's reads of the service get no answer.
	serviceIsSilent bool
	// serviceRejects is set if the service rejects the node's reads.
	serviceRejects bool
	// serviceAnswersAfter delays the answers of the service.
	serviceAnswersAfter time.Duration
}

// nodeFaults are the faults that a node can have, alone.
var nodeFaults = map[string]nodeFault{
	"healthy":              {},
	"frozen":               {isSilent: true, serviceIsSilent: true},
	"killed":               {refusesQueries: true, serviceRejects: true},
	"cut from the nodes":   {isSilent: true},
	"cut from the service": {serviceIsSilent: true},
	"rejected":             {serviceRejects: true},
	"slow":                 {answersAfter: 500 * time.Millisecond, serviceAnswersAfter: 300 * time.Millisecond},
	"very slow":            {answersAfter: 900 * time.Millisecond, serviceAnswersAfter: 900 * time.Millisecond},
}

// simulatedZone is a zone in simulated time.
type simulatedZone struct {
	service   *fake.Service
	followers []*Follower
	// faults holds what is wrong with each node.
	faults atomic.Pointer[[simulatedNodes]nodeFault]
}

// simulatedClient is one node's client of the service.
type simulatedClient struct {
	kv.Client
	zone *simulatedZone
	node int
}

// read does a read of the service as the node's fault has it.
func (c simulatedClient) read(ctx context.Context, timeout time.Duration, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.zone.faults.Load()[c.node].serviceRejects {
		return kv.ErrUnavailable.New("rejected")
	}
	err := read(ctx)
	fault := c.zone.faults.Load()[c.node]
	if fault.serviceRejects {
		return kv.ErrUnavailable.New("connection reset")
	}
	if fault.serviceIsSilent {
		<-ctx.Done()
	} else {
		sleepUntilDone(ctx, roundTrip+fault.serviceAnswersAfter)
	}
	if ctx.Err() != nil {
		return kv.ErrUnavailable.Wrap(ctx.Err(), "no answer")
	}
	return err
}

func (c simulatedClient) List(ctx context.Context, prefix string) (entries []kv.Entry, revision kv.Revision, err error) {
	err = c.read(ctx, watchTimeout-watchWait, func(ctx context.Context) error {
		entries, revision, err = c.Client.List(ctx, prefix)
		return err
	})
	return entries, revision, err
}

func (c simulatedClient) Watch(ctx context.Context, prefix string, after kv.Revision) (entries []kv.Entry, revision kv.Revision, err error) {
	err = c.read(ctx, watchTimeout, func(ctx context.Context) error {
		entries, revision, err = c.Client.Watch(ctx, prefix, after)
		return err
	})
	return entries, revision, err
}

func sleepUntilDone(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// query answers a query as the fault of the queried node has it.
func (z *simulatedZone) query(ctx context.Context, address netip.AddrPort, _ peer.Kind, message, reply proto.Message) error {
	node := int(address.Port()) - 7000
	if z.faults.Load()[node].refusesQueries {
		return peer.ErrUnreachable.New("refused")
	}
	answer := answerQuery(ctx, z.followers[node], "", message)
	fault := z.faults.Load()[node]
	if fault.refusesQueries {
		return peer.ErrBroken.New("reset")
	}
	if fault.isSilent {
		<-ctx.Done()
	} else {
		sleepUntilDone(ctx, roundTrip+fault.answersAfter)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	proto.Merge(reply, answer)
	return nil
}

// startSimulatedZone starts the nodes and waits until they read steadily.
func startSimulatedZone(t *testing.T, ctx context.Context) *simulatedZone {
	z := &simulatedZone{service: fake.New(fake.Config{LongestWait: watchWait})}
	z.faults.Store(&[simulatedNodes]nodeFault{})
	start := time.Now()
	for i := range simulatedNodes {
		value := fmt.Appendf(nil, `{"vm":%q,"zone":"z","address":%q,"incarnation":"1"}`, vmName(i), vmAddress(i))
		_, err := z.service.Put(ctx, kv.PutRequest{Key: "online/" + vmName(i), Value: value})
		assert.NilError(t, err)
		z.followers = append(z.followers, NewFollower(FollowerConfig{
			Client:           simulatedClient{Client: z.service, zone: z, node: i},
			Query:            z.query,
			VM:               vmName(i),
			Zone:             "z",
			Prefix:           "o",
			MemberPrefix:     "online/",
			SuspectReadAfter: watchWait + 300*time.Millisecond,
			OnChange:         func(View) {},
			OnMalformed:      func(key string, err error) { t.Error(key, err) },
			Logger:           zap.NewNop(),
			Now:              func() time.Duration { return time.Since(start) },
		}))
	}
	for _, f := range z.followers {
		go func() { _ = f.Run(ctx) }()
	}
	time.Sleep(10 * time.Second)
	return z
}

// propagationTime returns the time from the write of a configuration until the healthy
// node knows it, while the others have faults since the given time.
func propagationTime(t *testing.T, faults [simulatedNodes]nodeFault, settle, lead time.Duration) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		z := startSimulatedZone(t, ctx)
		time.Sleep(settle)
		synctest.Wait()
		z.faults.Store(&faults)
		time.Sleep(lead)
		_, err := z.service.Put(ctx, kv.PutRequest{Key: configKey, Value: []byte("1")})
		assert.NilError(t, err)
		writtenAt := time.Now()
		for time.Since(writtenAt) < 20*time.Second {
			if _, ok := z.followers[simulatedNodes-1].Entry(configKey); ok {
				break
			}
			time.Sleep(time.Millisecond)
		}
		took = time.Since(writtenAt)
		cancel()
		synctest.Wait()
	})
	return took
}

// TestHealthyNodeLearnsOfChangeInTime: all other nodes of a zone were impaired, its readers
// each in its own way, and a healthy node queried one after the other before it read from
// the service. The waits added up to more than the time within which a confirmed
// configuration must be in force.
func TestHealthyNodeLearnsOfChangeInTime(t *testing.T) {
	const samples = 8
	frozen := nodeFaults["frozen"]
	for first, firstFault := range nodeFaults {
		for second, secondFault := range nodeFaults {
			t.Run(first+", "+second, func(t *testing.T) {
				random := rand.New(rand.NewPCG(22, 1))
				faults := [simulatedNodes]nodeFault{firstFault, secondFault, frozen, frozen, frozen, {}}
				longest := time.Duration(0)
				for i := range samples {
					settle := time.Duration(random.Int64N(int64(2 * time.Second)))
					longest = max(longest, propagationTime(t, faults, settle, time.Duration(i)*leadStep))
				}
				t.Logf("%v", longest)
				assert.Check(t, longest < maxPropagationTime, "%v", longest)
			})
		}
	}
}

// TestSlowServiceDelaysHealthyNode: both readers of a zone got the service's answers late,
// but not late enough to suspect their views, as changes kept ending their reads. The other
// nodes accepted those views although they could reach the service, and were behind.
func TestSlowServiceDelaysHealthyNode(t *testing.T) {
	const interval, step, writes = 100 * time.Millisecond, 5 * time.Millisecond, 80
	for delay := 100 * time.Millisecond; delay < 2*time.Second; delay += 100 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				z := startSimulatedZone(t, ctx)
				z.faults.Store(&[simulatedNodes]nodeFault{{serviceAnswersAfter: delay}, {serviceAnswersAfter: delay}})
				var known, written kv.Entry
				var writtenAt []time.Time
				longest := time.Duration(0)
				for len(writtenAt) < writes {
					var err error
					written, err = z.service.Put(ctx, kv.PutRequest{Key: configKey, Value: fmt.Append(nil, len(writtenAt)), IfRevision: written.Revision})
					assert.NilError(t, err)
					writtenAt = append(writtenAt, time.Now())
					for range interval / step {
						time.Sleep(step)
						known, _ = z.followers[simulatedNodes-1].Entry(configKey)
						if behind := int(written.Revision - known.Revision); known.Revision > 0 && behind > 0 {
							longest = max(longest, time.Since(writtenAt[len(writtenAt)-behind]))
						}
					}
				}
				t.Logf("%v", longest)
				assert.Check(t, known.Revision > 0 && longest < maxPropagationTime, "%v", longest)
				cancel()
				synctest.Wait()
			})
		})
	}
}
