import { fits } from '@hazellift/decisions'
import type { Resources } from '@hazellift/decisions'
import type { TaskKey } from '@hazellift/protocol'

/** A start that waits at its agent for room. */
export interface WaitingStart {
  /** Incarnation of the entry that sent it. */
  owner: string
  key: TaskKey
  payload: string
  need: Resources
  /** It is refused if no room came free by then. */
  expiresAt: number
  expectedMs: number
}

/** Starts in the order of their arrival: one that does not fit holds up those behind it, or wide ones would never begin. */
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

  /** Takes the first one, if it fits. */
  takeFirst (room: Resources): WaitingStart | undefined {
    const first = this.starts[0]
    return first !== undefined && fits(first.need, room) ? this.starts.shift() : undefined
  }

  /** Takes out those that are meant. */
  removeMatching (isMeant: (start: WaitingStart) => boolean): WaitingStart[] {
    const taken = this.starts.filter(isMeant)
    if (taken.length > 0) this.starts = this.starts.filter((start) => !isMeant(start))
    return taken
  }

  /** What is left of the room once all of them have begun. */
  capacityAfter ({ cpuMilli, memoryMb }: Resources): Resources {
    return this.starts.reduce((room, { need }) => ({
      cpuMilli: Math.max(0, room.cpuMilli - need.cpuMilli),
      memoryMb: Math.max(0, room.memoryMb - need.memoryMb)
    }), { cpuMilli, memoryMb })
  }
}
