import { create } from '@bufbuild/protobuf'
import { RevokeSchema } from '@hazellift/protocol'
import type { TaskKey } from '@hazellift/protocol'
import type { AgentHandle } from './agentHandle.js'

/** Asks an agent to end tasks that it has listed, though their jobs have ended at this entry. */
export const revokeTasks = (agent: AgentHandle, keys: TaskKey[]): void => {
  for (const { workspace, submission, task } of keys) {
    const message = create(RevokeSchema, { workspace, submission, tasks: [task] })
    agent.link?.add((frame) => { frame.revokes.push(message) })
  }
}
