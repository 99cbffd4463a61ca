import { create } from '@bufbuild/protobuf'
import { TASK_OUTCOMES, TaskKeySchema, TaskResultSchema } from '@hazellift/protocol'
import type { TaskKey } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { taskKey } from '../tasks/keys.js'
import type { SentRun } from './leasedAgent.js'
import { createLeasedJob } from './leasedJob.js'
import type { LeasedJob, LeasedJobEnd } from './leasedJob.js'
import { reconcileRuns } from './reconcileRuns.js'

const keyOf = (attempt = 0): TaskKey => create(TaskKeySchema, { workspace: 'w', submission: 'j', task: 0, attempt })

const createJob = (end: LeasedJobEnd | undefined, isMoving: boolean): LeasedJob => {
  const spec = {
    workspace: 'w', id: 'j', requestId: '', service: 's', payload: '', count: 1, need: { cpuMilli: 1, memoryMb: 1 }, estimateMs: 1, kind: 'k', priority: 0, attempts: 1, objective: { stretch: 1, slackMs: 1, lateFactor: 1 }, deadlineMs: 1
  }
  const job = createLeasedJob(spec, 0, 1, () => {})
  job.end = end
  job.tasks[0]!.isMoving = isMoving
  return job
}

const sentRun = (job: LeasedJob): SentRun => ({ job, index: 0, attempt: 0, sentAt: 0, endpointIncarnation: '', endpointAddress: '' })

const OPEN = createJob(undefined, false)
const MOVING = createJob(undefined, true)
const ENDED = createJob({ type: 'failed', reason: 'caller_gone', message: '' }, false)

describe('reconcileRuns', () => {
  const cases: Array<{ name: string, sent: LeasedJob | undefined, held: TaskKey[], hasResult?: boolean, lost?: TaskKey[], unwanted?: TaskKey[] }> = [
    { name: 'a run of an open job goes on', sent: OPEN, held: [keyOf()] },
    { name: 'a start that is not listed was lost', sent: OPEN, held: [], lost: [keyOf()] },
    { name: 'a run of a job that has ended is unwanted', sent: ENDED, held: [keyOf()], unwanted: [keyOf()] },
    { name: 'a run that is being moved is unwanted', sent: MOVING, held: [keyOf()], unwanted: [keyOf()] },
    { name: 'a run that the entry does not know is unwanted', sent: undefined, held: [keyOf()], unwanted: [keyOf()] },
    { name: 'an earlier attempt is unwanted, and the later one was lost', sent: OPEN, held: [keyOf(1)], lost: [keyOf()], unwanted: [keyOf(1)] },
    { name: 'a task whose result comes with the list has ended', sent: ENDED, held: [keyOf()], hasResult: true }
  ]
  it.each(cases)('$name', ({ sent, held, hasResult = false, lost = [], unwanted = [] }) => {
    const runs = new Map(sent === undefined ? [] : [[taskKey(keyOf()), sentRun(sent)]])
    const results = hasResult ? [create(TaskResultSchema, { key: keyOf(), outcome: TASK_OUTCOMES.done })] : []
    const reconciled = reconcileRuns(runs, held, results)
    expect(reconciled.lostStarts).toEqual(lost.map(taskKey))
    expect(reconciled.unwanted).toEqual(unwanted)
  })
})
