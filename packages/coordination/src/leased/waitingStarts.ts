import { fits } from '@hazellift/decisions'
import type { Resources } from '@hazellift/decisions'
import type { TaskKey } from '@hazellift/protocol'

/** A start that waits at its agent for free capacity. */
export interface WaitingStart {
  /** Incarnation of the entry that sent it. */
  owner: string
  key: TaskKey
  payload: string
  need: Resources
  /** The start is refused if it does not fit by then; on the agent's clock. */
  expiresAt: number
  expectedMs: number
}

/**
 * Queue of waiting starts in the order of their arrival. A start that does not fit blocks
 * those behind it; otherwise smaller ones would keep large ones waiting forever.
 */
export class WaitingStarts {
  private starts: WaitingStart[] = []

  get size (): number {
    return this.starts.length
  }

  [Symbol.iterator] (): Iterator<WaitingStart> {
    return this.starts.values()
  }

  add (start: WaitingStart): void {
    this.starts.push(start)
  }

  /** True if a start of this task waits, whoever sent it. */
  has ({ submission, task }: Pick<TaskKey, 'submission' | 'task'>): boolean {
    return this.starts.some(({ key }) => key.submission === submission && key.task === task)
  }

  /** Removes and returns the first start if it fits the free capacity; undefined otherwise. */
  takeFirst (freeCapacity: Resources): WaitingStart | undefined {
    const first = this.starts[0]
    return first !== undefined && fits(first.need, freeCapacity) ? this.starts.shift() : undefined
  }

  /** Removes and returns all matching starts. */
  removeMatching (matches: (start: WaitingStart) => boolean): WaitingStart[] {
    const removed = this.starts.filter(matches)
    if (removed.length > 0) this.starts = this.starts.filter((start) => !matches(start))
    return removed
  }

  /** The capacity that remains free once all waiting starts have begun; never negative. */
  capacityAfter ({ cpuMilli, memoryMb }: Resources): Resources {
    return this.starts.reduce((remaining, { need }) => ({
      cpuMilli: Math.max(0, remaining.cpuMilli - need.cpuMilli),
      memoryMb: Math.max(0, remaining.memoryMb - need.memoryMb)
    }), { cpuMilli, memoryMb })
  }
}
