package deployment

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	peerpb "github.com/corianderbank/corianderbank/api/peer"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// The calls to workers that a hub makes for the leader.
const (
	opStart = "start"
	opStop  = "stop"
	opPoll  = "poll"
)

const (
	// maxRelayedCalls bounds the calls that a hub has in flight for leaders, and also
	// those that it queues in addition.
	maxRelayedCalls = 4096
	// answerBatchLinger is the time that answers wait for others to the same leader.
	answerBatchLinger = 15 * time.Millisecond
	// maxAnswersPerMessage bounds the answers of one message.
	maxAnswersPerMessage = 256
)

var errRelayFull = errors.New("too many calls for others under way")

// relayCalls makes calls to workers for the leader. It returns at once; the answers are
// sent in separate messages.
func (i *Instance) relayCalls(leader string, calls []*peerpb.WorkerCall) error {
	if i.stopping.Load() {
		return api.NewError(api.KindNotReady, "stopping")
	}
	for _, call := range calls {
		if i.relayPool.Go(func() { i.workerAnswers.add(leader, i.relayCall(call)) }) != nil {
			i.workerAnswers.add(leader, newWorkerAnswer(call.GetId(), workload.VerdictUnsent, 0, errRelayFull))
		}
	}
	return nil
}

func (i *Instance) relayCall(call *peerpb.WorkerCall) *peerpb.WorkerAnswer {
	ctx := context.Background() // each call to a worker has its own timeout
	direct := i.options.Workers
	switch call.GetOp() {
	case opStart:
		return orderResultToProto(call.GetId(), direct.Start(ctx, orderFromProto(call)))
	case opStop:
		return orderResultToProto(call.GetId(), direct.Stop(ctx, orderFromProto(call)))
	case opPoll:
		return reportToProto(call.GetId(), direct.Poll(ctx, pollFromProto(call)))
	}
	return newWorkerAnswer(call.GetId(), workload.VerdictUnsent, 0, errors.New("no such call"))
}

// sendAnswers sends the answers of workers to the leader. If that fails, the calls of
// the leader time out.
func (i *Instance) sendAnswers(leader string, answers []*peerpb.WorkerAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	message := &peerpb.WorkerAnswers{Answers: answers}
	if _, err := i.node.Call(ctx, leader, &peerpb.Request{Body: &peerpb.Request_WorkerAnswers{WorkerAnswers: message}}); err != nil {
		i.logger.Debug("answers of workers not passed on", zap.String("peer", leader), zap.Int("answers", len(answers)), zap.Error(err))
	}
}

func taskToProto(t workload.TaskID) *peerpb.TaskName {
	return &peerpb.TaskName{Job: t.Job, Occurrence: int32(t.Occurrence), Step: int32(t.Step), Index: int32(t.Index)}
}

func taskFromProto(t *peerpb.TaskName) workload.TaskID {
	return workload.TaskID{Job: t.GetJob(), Occurrence: int(t.GetOccurrence()), Step: int(t.GetStep()), Index: int(t.GetIndex())}
}

func orderToProto(op string, o workload.Order) *peerpb.WorkerCall {
	return &peerpb.WorkerCall{
		Op:         op,
		Worker:     o.Worker,
		Addr:       o.Addr,
		Task:       taskToProto(o.Task),
		Attempt:    o.Attempt,
		Epoch:      o.Epoch,
		UntilMs:    o.UntilMS,
		Spec:       o.Spec,
		Checkpoint: o.Checkpoint,
		Ticket:     o.Ticket,
	}
}

func orderFromProto(call *peerpb.WorkerCall) workload.Order {
	return workload.Order{
		Worker:     call.GetWorker(),
		Addr:       call.GetAddr(),
		Task:       taskFromProto(call.GetTask()),
		Attempt:    call.GetAttempt(),
		Epoch:      call.GetEpoch(),
		UntilMS:    call.GetUntilMs(),
		Spec:       call.GetSpec(),
		Checkpoint: call.GetCheckpoint(),
		Ticket:     call.GetTicket(),
	}
}

func pollToProto(p workload.Poll) *peerpb.WorkerCall {
	return &peerpb.WorkerCall{
		Op:           opPoll,
		Worker:       p.Worker,
		Addr:         p.Addr,
		Epoch:        p.Epoch,
		UntilMs:      p.UntilMS,
		Acknowledged: p.Acknowledged,
		WaitMs:       p.Wait.Milliseconds(),
	}
}

func pollFromProto(call *peerpb.WorkerCall) workload.Poll {
	return workload.Poll{
		Worker:       call.GetWorker(),
		Addr:         call.GetAddr(),
		Epoch:        call.GetEpoch(),
		UntilMS:      call.GetUntilMs(),
		Acknowledged: call.GetAcknowledged(),
		Wait:         time.Duration(call.GetWaitMs()) * time.Millisecond,
	}
}

func newWorkerAnswer(id uint64, verdict workload.Verdict, clockMS int64, err error) *peerpb.WorkerAnswer {
	answer := &peerpb.WorkerAnswer{Id: id, Verdict: verdict.String(), ClockMs: clockMS}
	if err != nil {
		answer.Message = err.Error()
	}
	return answer
}

func orderResultToProto(id uint64, r workload.OrderResult) *peerpb.WorkerAnswer {
	answer := newWorkerAnswer(id, r.Verdict, r.ClockMS, r.Err)
	answer.Incarnation = r.Incarnation
	return answer
}

func orderResultFromProto(answer *peerpb.WorkerAnswer) workload.OrderResult {
	return workload.OrderResult{
		Verdict: workload.ParseVerdict(answer.GetVerdict()), ClockMS: answer.GetClockMs(), Incarnation: answer.GetIncarnation(), Err: messageError(answer),
	}
}

func reportToProto(id uint64, r workload.Report) *peerpb.WorkerAnswer {
	answer := newWorkerAnswer(id, r.Verdict, r.ClockMS, r.Err)
	answer.Incarnation = r.Incarnation
	answer.Unread = int32(r.Unparsed)
	for _, running := range r.Running {
		answer.Running = append(answer.Running, &peerpb.RunningTask{
			Task: taskToProto(running.Task), Attempt: running.Attempt, Checkpoint: running.Checkpoint, Percent: int32(running.Percent),
		})
	}
	for _, e := range r.Ended {
		answer.Ended = append(answer.Ended, &peerpb.EndedTask{
			Number: e.Number, Task: taskToProto(e.Task), Attempt: e.Attempt, Kind: string(e.Kind), Checkpoint: e.Checkpoint,
		})
	}
	return answer
}

func reportFromProto(answer *peerpb.WorkerAnswer) workload.Report {
	r := workload.Report{
		Verdict: workload.ParseVerdict(answer.GetVerdict()), ClockMS: answer.GetClockMs(), Incarnation: answer.GetIncarnation(),
		Unparsed: int(answer.GetUnread()), Err: messageError(answer),
	}
	for _, running := range answer.GetRunning() {
		r.Running = append(r.Running, workload.Running{
			Task: taskFromProto(running.GetTask()), Attempt: running.GetAttempt(), Checkpoint: running.GetCheckpoint(), Percent: int(running.GetPercent()),
		})
	}
	for _, e := range answer.GetEnded() {
		r.Ended = append(r.Ended, workload.Completion{
			Number: e.GetNumber(), Task: taskFromProto(e.GetTask()), Attempt: e.GetAttempt(), Kind: workload.CompletionKind(e.GetKind()), Checkpoint: e.GetCheckpoint(),
		})
	}
	return r
}

func messageError(answer *peerpb.WorkerAnswer) error {
	if answer.GetMessage() == "" {
		return nil
	}
	return errors.New(answer.GetMessage())
}
