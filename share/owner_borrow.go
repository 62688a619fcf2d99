package share

import (
	"sync"
	"time"
)

const (
	// zoneReportInterval is the delay before spent tokens are reported to lenders of
	// other zones.
	zoneReportInterval = 5 * time.Millisecond
	// peerTimeout is the timeout of a draw from another zone.
	peerTimeout = 50 * time.Millisecond
	// lookahead is the time whose expected demand a lender tries to have available.
	lookahead = 30 * time.Millisecond
)

// borrowAhead asks lenders of other zones before this one runs out of tokens.
func (o *Owner) borrowAhead(s *ownedShard, workspace string, now time.Duration) {
	target := s.lender.ExpectedDemand(workspace, lookahead, now)
	if target < 1 || s.lender.Available(workspace, now) >= target {
		return
	}
	o.startBorrowing(s, workspace, target, now)
}

// startBorrowing returns a channel that closes when the lenders of other zones
// have answered, nil if no zone has to be asked.
func (o *Owner) startBorrowing(s *ownedShard, workspace string, need float64, now time.Duration) chan struct{} {
	if done, ok := s.borrowing[workspace]; ok {
		return done
	}
	draws := s.lender.BorrowDraws(workspace, need, now)
	if len(draws) == 0 {
		return nil
	}
	done := make(chan struct{})
	s.borrowing[workspace] = done
	go o.runBorrowing(s, workspace, draws, now, done)
	return done
}

func (o *Owner) runBorrowing(s *ownedShard, workspace string, draws []Draw, askedAt time.Duration, done chan struct{}) {
	var group sync.WaitGroup
	for _, draw := range draws {
		group.Go(func() { o.drawFromPeer(s, draw, askedAt) })
	}
	group.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(s.borrowing, workspace)
	close(done)
}

func (o *Owner) drawFromPeer(s *ownedShard, draw Draw, askedAt time.Duration) {
	grant, ok := o.send(draw)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Clock()
	if !ok {
		s.lender.DrawFailed(draw.Workspace, draw.LenderZone, draw.ID, now)
		return
	}
	s.lender.HandleGrant(draw.Workspace, draw.LenderZone, grant, askedAt, now)
	o.scheduleReports()
}

func (o *Owner) send(draw Draw) (Grant, bool) {
	o.mu.Lock()
	index := o.index
	o.mu.Unlock()
	return sendDraw(o.config.Peers, index, draw, peerTimeout)
}

// scheduleReports schedules reports to lenders of other zones on spent and idle tokens.
func (o *Owner) scheduleReports() {
	if o.reportScheduled {
		return
	}
	o.reportScheduled = true
	time.AfterFunc(zoneReportInterval, o.sendReports)
}

func (o *Owner) sendReports() {
	o.mu.Lock()
	o.reportScheduled = false
	draws := o.reportDraws(o.config.Clock())
	o.mu.Unlock()
	for _, draw := range draws {
		go o.send(draw)
	}
}

func (o *Owner) reportDraws(now time.Duration) []Draw {
	var draws []Draw
	for _, s := range o.shards {
		draws = append(draws, s.lender.ReportDraws(now)...)
		if s.lender.HasBorrowed() {
			o.scheduleReports()
		}
	}
	return draws
}
