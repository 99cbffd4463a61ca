import type { JobAnswer } from '@hazellift/protocol'

/** The final answer of a job, with the body hash and the nonce of its claim. */
export interface RememberedAnswer {
  answer: JobAnswer
  bodyHash: Uint8Array
  nonce: string
}

interface StoredAnswer extends RememberedAnswer {
  addedAt: number
  bytes: number
}

/** Clock and bounds of an answer window. */
export interface AnswerWindowOptions {
  /** Monotonic time, in ms. */
  now: () => number
  /** How long an answer is remembered, in ms. */
  maxMs: number
  /** Approximate size of all answers above which the oldest are dropped early. */
  maxBytes: number
}

/** Approximate size of a remembered answer without its results. */
const ANSWER_OVERHEAD_BYTES = 512

const sizeOf = ({ results }: JobAnswer): number =>
  results.reduce((sum, result) => sum + result.length, ANSWER_OVERHEAD_BYTES)

/** Remembers recent final answers by submission key, bounded in age and total size. The oldest are dropped first. */
export class AnswerWindow {
  private readonly answers = new Map<string, StoredAnswer>()
  private bytes = 0
  private droppedEarlyAt = -Infinity

  constructor (private readonly options: AnswerWindowOptions) {}

  /** True if every answer younger than `maxMs` is remembered. */
  get isWhole (): boolean {
    return this.options.now() - this.droppedEarlyAt > this.options.maxMs
  }

  /** Remembers the answer of a job in place of an earlier one. */
  add (key: string, remembered: RememberedAnswer): void {
    this.delete(key)
    const bytes = sizeOf(remembered.answer)
    this.answers.set(key, { ...remembered, addedAt: this.options.now(), bytes })
    this.bytes += bytes
    this.trim()
  }

  /** The answer of a job, if it is remembered. */
  find (key: string): RememberedAnswer | undefined {
    return this.answers.get(key)
  }

  /** Drops answers that are too old, and the oldest ones while the total size is too large. */
  trim (): void {
    const oldestAt = this.options.now() - this.options.maxMs
    for (const [key, { addedAt }] of this.answers) {
      if (addedAt >= oldestAt && this.bytes <= this.options.maxBytes) return
      if (addedAt >= oldestAt) this.droppedEarlyAt = this.options.now()
      this.delete(key)
    }
  }

  private delete (key: string): void {
    this.bytes -= this.answers.get(key)?.bytes ?? 0
    this.answers.delete(key)
  }
}
