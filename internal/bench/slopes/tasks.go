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
	costWorkFrames         = "work frames, both ways"
	costWorkBytes          = "work bytes, both ways"
	costControlFramesTotal = "control frames, both ways"
	concurrentCallers      = 16
	tasksPerJob            = 10
	realAgents             = 4
	ticketAgents           = 40
	taskDeadline           = 10 * time.Second
)

// measureTasks measures what a task that ends at once costs one entry and all its
// agents. Jobs have tasksPerJob tasks.
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
	f, err := startFleet(ctx, 1, realAgents, fleet.Overrides{})
	if err != nil {
		return err
	}
	defer f.Close()
	// Opens the callers' connections before the measurement.
	if err := submit(ctx, f, concurrentCallers, 1); err != nil {
		return err
	}
	before, err := readNode(f, f.Entries[0])
	if err != nil {
		return err
	}
	agentsBefore, err := agentsProcessorTime(f)
	if err != nil {
		return err
	}
	if err := submit(ctx, f, n/tasksPerJob, tasksPerJob); err != nil {
		return err
	}
	after, err := readNode(f, f.Entries[0])
	if err != nil {
		return err
	}
	agentsAfter, err := agentsProcessorTime(f)
	if err != nil {
		return err
	}
	entry.addProcessorAndFrames(before, after, float64(n))
	agents.add(costProcessorTotal, float64(n), micros(agentsAfter-agentsBefore))
	return nil
}

// addProcessorAndFrames adds the processor time and the traffic between two readings.
func (s *series) addProcessorAndFrames(before, after nodeReading, units float64) {
	frames, bytes := workTraffic(before.values, after.values)
	controlFrames, controlBytes := controlTraffic(before.values, after.values)
	s.add(costProcessorTotal, units, micros(after.usage.cpu-before.usage.cpu))
	s.add(costWorkFrames, units, frames)
	s.add(costWorkBytes, units, bytes)
	s.add(costControlFramesTotal, units, controlFrames)
	s.add(costControlBytesTotal, units, controlBytes)
}

// agentsProcessorTime returns the CPU time of all agents of a fleet.
func agentsProcessorTime(f *fleet.Fleet) (time.Duration, error) {
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

// submit runs jobs through the first entry, concurrentCallers at a time.
func submit(ctx context.Context, f *fleet.Fleet, jobs, tasks int) error {
	c := f.Client(department, "slopes", f.Entries[0])
	next := make(chan int)
	failed := make(chan error, concurrentCallers)
	var workers sync.WaitGroup
	for range concurrentCallers {
		workers.Go(func() {
			for i := range next {
				if err := submitOne(ctx, c, i, tasks); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	err := sendIndexes(next, failed, jobs)
	workers.Wait()
	return err
}

// submitOne runs the i-th job, with n repeatable tasks, to its end.
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

// measureTickets measures answered jobs, each with one task and a ticket that the entry
// keeps. Light agents answer the tasks at once.
func measureTickets(ctx context.Context, o Options) ([]Row, error) {
	return measureSeries("ticket remembered", "entry", []int{5000, 10000, 20000}, func(s *series, n int) error {
		return measureTicketsAt(ctx, s, o, n)
	})
}

func measureTicketsAt(ctx context.Context, s *series, o Options, n int) error {
	f, g, err := startEntryWithLightAgents(ctx, o, ticketAgents)
	if err != nil {
		return err
	}
	defer f.Close()
	defer g.close()
	before, err := readNode(f, f.Entries[0])
	if err != nil {
		return err
	}
	traffic := g.traffic()
	if err := submit(ctx, f, n, 1); err != nil {
		return err
	}
	after, err := readNode(f, f.Entries[0])
	if err != nil {
		return err
	}
	units := float64(n)
	s.add(costMemory, units, float64(after.usage.memory))
	s.add(costProcessorTotal, units, micros(after.usage.cpu-before.usage.cpu))
	s.addTraffic(g, traffic, units)
	return nil
}
