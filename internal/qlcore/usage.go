package qlcore

import "github.com/quetzallane/quetzallane/internal/qlwire"

// report sends each customer's usage to its usage home, in one message for each
// home and pool.
func (c *Core) report() {
	c.dropUnansweredReports()
	for _, pool := range c.dispatcher.Pools() {
		items := make(map[string][]*qlwire.UsageItem)
		var homes []string
		for _, item := range c.dispatcher.Report(c.now, pool) {
			home := c.homeOf(pool, item.GetCustomer())
			if items[home] == nil {
				homes = append(homes, home)
			}
			items[home] = append(items[home], item)
		}
		for _, home := range homes {
			c.sendReport(home, pool, items[home])
		}
	}
}

// sendReport sends one usage report. The report includes the system's virtual
// time if the home may have no virtual time for a customer: when the home has
// not answered yet, or when the virtual time of a customer is not known here
// either. The latter covers a home that has restarted since its last answer.
func (c *Core) sendReport(home, pool string, items []*qlwire.UsageItem) {
	c.reportSequence++
	c.reportSentAt[c.reportSequence] = c.now
	report := &qlwire.UsageReport{
		Sequence: c.reportSequence,
		Items:    items,
		Pool:     pool,
		Answered: c.lastAnsweredReport[home],
	}
	if report.GetAnswered() == 0 || anyVirtualTimeUnknown(items) {
		report.VirtualTime = qlwire.FromVirtual(c.dispatcher.VirtualTime(pool))
	}
	c.send(home, &qlwire.Message{
		Body: &qlwire.Message_UsageReport{
			UsageReport: report,
		},
	})
}

// applyTotals applies a usage home's answer to a report. An answer to a report
// that was dropped for its age, for example after a pause, is ignored.
func (c *Core) applyTotals(from string, reply *qlwire.UsageReply) {
	c.lastAnsweredReport[from] = reply.GetSequence()
	sentAt, known := c.reportSentAt[reply.GetSequence()]
	if !known {
		return
	}
	delete(c.reportSentAt, reply.GetSequence())
	c.dispatcher.ApplyTotals(c.now, sentAt, reply)
}

// dropUnansweredReports drops reports that were not answered in time.
func (c *Core) dropUnansweredReports() {
	for sequence, sentAt := range c.reportSentAt {
		if c.now-sentAt > _maxReportAge {
			delete(c.reportSentAt, sequence)
		}
	}
}

func (c *Core) homeOf(pool, customer string) string {
	owner, ok := c.liveRing.Owner(pool + "/" + customer)
	if !ok {
		return c.config.Self
	}
	return owner.ID()
}

func anyVirtualTimeUnknown(items []*qlwire.UsageItem) bool {
	for _, item := range items {
		if item.GetKnownVirtualTime() == 0 {
			return true
		}
	}
	return false
}

func (c *Core) answerReport(from string, epoch uint64, report *qlwire.UsageReport) {
	reply := c.home.ApplyReport(c.now, from, epoch, report)
	c.send(from, &qlwire.Message{
		Body: &qlwire.Message_UsageReply{
			UsageReply: reply,
		},
	})
}
