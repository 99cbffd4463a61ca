import { create } from '@bufbuild/protobuf'
import { EndsElsewhereSchema } from '@hazellift/protocol'
import type { EndsElsewhere, TaskResult } from '@hazellift/protocol'
import { ENDPOINT_VERDICTS, judgeResult } from '../health/judgeResult.js'

/** Counts ended starts of other entries that one entry has not been notified of. */
export class EndsElsewhereCounter {
  private ends: EndsElsewhere | undefined

  /** Counts a result that goes to another entry. */
  count (result: TaskResult): void {
    const verdict = judgeResult(result)
    if (verdict === ENDPOINT_VERDICTS.none) return
    this.ends ??= create(EndsElsewhereSchema)
    if (verdict === ENDPOINT_VERDICTS.failed) {
      this.ends.failed++
      return
    }
    this.ends.done++
    this.ends.runMs += result.runMs
  }

  /** Returns what was counted since the last call, and starts again; `undefined` if nothing was. */
  take (): EndsElsewhere | undefined {
    const { ends } = this
    this.ends = undefined
    return ends
  }
}
