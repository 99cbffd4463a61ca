import type { TaskKey } from '@hazellift/protocol'

/** Separates parts of a key; neither workspace names nor ids may hold it. */
const SEPARATOR = '/'

/** Names a submission across workspaces. */
export const submissionKey = (workspace: string, submission: string): string =>
  workspace + SEPARATOR + submission

/** Marks a further attempt in a key. */
const ATTEMPT_MARK = '#'

/** Names an attempt at a task across submissions; also the idempotency key that endpoints get. */
export const taskKey = ({ workspace, submission, task, attempt }: TaskKey): string =>
  submissionKey(workspace, submission) + SEPARATOR + task + (attempt > 0 ? ATTEMPT_MARK + attempt : '')
