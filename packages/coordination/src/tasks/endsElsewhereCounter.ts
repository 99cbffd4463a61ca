import { create } from '@bufbuild/protobuf'
import { EndsElsewhereSchema } from '@hazellift/protocol'
import type { EndsElsewhere, TaskResult } from '@hazellift/protocol'
import { ENDPOINT_VERDICTS, judgeResult } from '../health/judgeResult.js'

/** What one entry is still to be told of the starts of the others. */
export class EndsElsewhereCounter {
  private ends: EndsElsewhere | undefined

  /** Counts a result that went to another entry. */
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

  /** What was counted since the last call, if anything. */
  take (): EndsElsewhere | undefined {
    const { ends } = this
    this.ends = undefined
    return ends
  }
}
