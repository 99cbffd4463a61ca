import type { JobAnswer } from '@hazellift/protocol'

/** A finished job as it is remembered. */
export interface RememberedAnswer {
  answer: JobAnswer
  bodyHash: Uint8Array
  nonce: string
}

interface StoredAnswer extends RememberedAnswer {
  addedAt: number
  bytes: number
}

/** Bounds of the window. */
export interface AnswerWindowOptions {
  now: () => number
  maxMs: number
  maxBytes: number
}

/** Cost of an entry beside its results, about. */
const ANSWER_OVERHEAD_BYTES = 512

const sizeOf = ({ results }: JobAnswer): number =>
  results.reduce((sum, result) => sum + result.length, ANSWER_OVERHEAD_BYTES)

/** Final answers of the last while, bounded in time and bytes; the oldest go first. */
export class AnswerWindow {
  private readonly answers = new Map<string, StoredAnswer>()
  private bytes = 0
  private droppedEarlyAt = -Infinity

  constructor (private readonly options: AnswerWindowOptions) {}

  /** True if every answer younger than `maxMs` is here. */
  get isWhole (): boolean {
    return this.options.now() - this.droppedEarlyAt > this.options.maxMs
  }

  /** Remembers an answer. */
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

  /** Forgets what is too old or too much. */
  trim (): void {
    const oldestAt = this.options.now() - this.options.maxMs
    for (const [key, { addedAt: at }] of this.answers) {
      if (at >= oldestAt && this.bytes <= this.options.maxBytes) return
      if (at >= oldestAt) this.droppedEarlyAt = this.options.now()
      this.delete(key)
    }
  }

  private delete (key: string): void {
    this.bytes -= this.answers.get(key)?.bytes ?? 0
    this.answers.delete(key)
  }
}
