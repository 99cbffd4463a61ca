import { create } from '@bufbuild/protobuf'
import { AgentFrameSchema, EndpointStateSchema, EntryFrameSchema, StartSchema, TASK_OUTCOMES, TaskKeySchema } from '@hazellift/protocol'
import type { AgentFrame } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import type { AddToFrame } from '../session/types.js'
import { TaskHost } from './taskHost.js'

const newHost = (): TaskHost => {
  const host = new TaskHost({
    clock: createFakeClock(),
    standingCredits: 1,
    overflowQueue: 0,
    startAgeMs: 1000,
    memoryMs: 1000,
    runAttempt: async () => ({ outcome: TASK_OUTCOMES.done, reason: '', body: '' })
  })
  host.setEndpoint(create(EndpointStateSchema, { service: 's', slots: 1, address: 'x' }))
  return host
}

/** Has the host run one task of an entry to its end. */
const runTask = async (host: TaskHost, entry: string, add: AddToFrame): Promise<void> => {
  const key = create(TaskKeySchema, { workspace: 'w', submission: 'j', task: 0, attempt: 1 })
  host.onFrame(entry, add, create(EntryFrameSchema, { starts: [create(StartSchema, { key })] }))
  await new Promise((resolve) => setImmediate(resolve))
}

describe('the last frame of a session that leaves after another one has replaced it', () => {
  it('leaves the ends at other entries to the present session', async () => {
    const host = newHost()
    const sessions = { earlier: (): void => {}, present: (): void => {}, other: (): void => {} }
    host.openSession('e', sessions.earlier)
    host.openSession('e', sessions.present)
    host.openSession('other', sessions.other)
    await runTask(host, 'other', sessions.other)
    const endsIn = (add: AddToFrame): AgentFrame['endsElsewhere'] => {
      const frame = create(AgentFrameSchema)
      host.fillFrame('e', add, frame)
      return frame.endsElsewhere
    }
    const late = endsIn(sessions.earlier)
    expect({ late, done: endsIn(sessions.present)?.done }).toEqual({ late: undefined, done: 1 })
  })
})
