package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

const (
	costWorkFrames = "work frames, both ways"
	costWorkBytes  = "work bytes, both ways"
	costControlAll = "control frames, both ways"
	callers        = 16
	tasksPerJob    = 10
	realAgents     = 4
	ticketAgents   = 40
	taskDeadline   = 10 * time.Second
)

// measureTasks measures tasks that end at once, in jobs of tasksPerJob, at one
// entry and its agents.
func measureTasks(ctx context.Context, _ Options) ([]Row, error) {
	entry := newSeries("task dispatched", "entry")
	agents := newSeries("task dispatched", "agent")
	for _, n := range []int{2000, 4000, 8000} {
		if err := measureTasksAt(ctx, entry, agents, n); err != nil {
			return nil, err
		}
	}
	return append(entry.rows(), agents.rows()...), nil
}

func measureTasksAt(ctx context.Context, entry, agents *series, n int) error {
	f, err := startFleet(ctx, 1, realAgents, fleet.Tune{})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := submit(ctx, f, callers, 1); err != nil { // opens connections
		return err
	}
	before, err := readEvent(f, f.Entries[0])
	if err != nil {
		return err
	}
	agentsBefore, err := agentsTime(f)
	if err != nil {
		return err
	}
	if err := submit(ctx, f, n/tasksPerJob, tasksPerJob); err != nil {
		return err
	}
	after, err := readEvent(f, f.Entries[0])
	if err != nil {
		return err
	}
	agentsAfter, err := agentsTime(f)
	if err != nil {
		return err
	}
	entry.spent(before, after, float64(n))
	agents.add(costEventProcessor, float64(n), micros(agentsAfter-agentsBefore))
	return nil
}

// spent adds processor time and frames between two readings.
func (s *series) spent(before, after event, units float64) {
	frames, bytes := work(before.values, after.values)
	controlFrames, controlBytes := control(before.values, after.values)
	s.add(costEventProcessor, units, micros(after.usage.cpu-before.usage.cpu))
	s.add(costWorkFrames, units, frames)
	s.add(costWorkBytes, units, bytes)
	s.add(costControlAll, units, controlFrames)
	s.add(costEventControl, units, controlBytes)
}

func agentsTime(f *fleet.Fleet) (time.Duration, error) {
	sum := time.Duration(0)
	for _, n := range f.Agents {
		u, err := readUsage(n.PID())
		if err != nil {
			return 0, err
		}
		sum += u.cpu
	}
	return sum, nil
}

// submit runs jobs through the first entry, a few at a time.
func submit(ctx context.Context, f *fleet.Fleet, jobs, tasks int) error {
	c := f.Client(department, "slopes", f.Entries[0])
	next := make(chan int)
	failed := make(chan error, callers)
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for i := range next {
				if err := submitOne(ctx, c, i, tasks); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	err := feed(next, failed, jobs)
	workers.Wait()
	return err
}

func submitOne(ctx context.Context, c *client.Client, i, n int) error {
	job := client.Job{Deadline: taskDeadline}
	for k := range n {
		payload, err := json.Marshal(standintarget.Payload{Task: fmt.Sprintf("%d/%d", i, k)})
		if err != nil {
			return eris.Wrap(err, "encode payload")
		}
		job.Tasks = append(job.Tasks, &apiv1.Task{Kind: department, Payload: payload, Repeatable: true})
	}
	_, err := c.Submit(ctx, job)
	return err
}

// measureTickets measures answered jobs of one task that the entry remembers,
// with light agents that answer at once.
func measureTickets(ctx context.Context, o Options) ([]Row, error) {
	s := newSeries("ticket remembered", "entry")
	for _, n := range []int{5000, 10000, 20000} {
		if err := measureTicketsAt(ctx, s, o, n); err != nil {
			return nil, err
		}
	}
	return s.rows(), nil
}

func measureTicketsAt(ctx context.Context, s *series, o Options, n int) error {
	f, g, err := startGroup(ctx, o, ticketAgents)
	if err != nil {
		return err
	}
	defer f.Close()
	defer g.close()
	before, err := readEvent(f, f.Entries[0])
	if err != nil {
		return err
	}
	traffic := g.traffic()
	if err := submit(ctx, f, n, 1); err != nil {
		return err
	}
	after, err := readEvent(f, f.Entries[0])
	if err != nil {
		return err
	}
	units := float64(n)
	s.add(costMemory, units, float64(after.usage.memory))
	s.add(costEventProcessor, units, micros(after.usage.cpu-before.usage.cpu))
	s.addTraffic(g, traffic, units)
	return nil
}
