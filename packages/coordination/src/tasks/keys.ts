import type { TaskKey } from '@hazellift/protocol'

/** Separates the parts of a key; workspace names and ids must not contain it. */
const SEPARATOR = '/'

/** Key of a submission, unique across workspaces. */
export const submissionKey = (workspace: string, submission: string): string =>
  workspace + SEPARATOR + submission

/** Precedes the number of a later attempt in a key. */
const ATTEMPT_MARK = '#'

/** Key of an attempt at a task, unique across submissions; endpoints get it as the idempotency key. */
export const taskKey = ({ workspace, submission, task, attempt }: TaskKey): string =>
  submissionKey(workspace, submission) + SEPARATOR + task + (attempt > 0 ? ATTEMPT_MARK + attempt : '')
