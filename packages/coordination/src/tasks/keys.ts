import type { TaskKey } from '@hazellift/protocol'

/** Separates parts of a key; neither workspace names nor ids may hold it. */
const SEPARATOR = '/'

/** Names a submission across workspaces. */
export const submissionKey = (workspace: string, submission: string): string =>
  workspace + SEPARATOR + submission

/** Names a task across submissions; also the idempotency key that endpoints get. */
export const taskKey = ({ workspace, submission, task }: TaskKey): string =>
  submissionKey(workspace, submission) + SEPARATOR + task
