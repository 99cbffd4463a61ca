import type { Random } from '@hazellift/common'
import { drawLogNormal } from './draw.js'
import type { SimulatedTask } from './labEndpoint.js'
import type { JobKind } from './scenario.js'

/** A job as the world knows it. */
export interface SimulatedJob {
  id: string
  kind: JobKind
  tasks: SimulatedTask[]
  /** The caller's guess of one task's run time, in ms. */
  estimateMs: number
  /** Longest run of its tasks at an endpoint of usual speed, in ms. */
  longestRunMs: number
  /** Its weight in all figures, by the worth of its kind: 0.3, and 0.7 by its work against the mean of its kind, at most 4. */
  weight: number
}

const meanWork = ({ tasks, runMs, cpuMilli }: JobKind): number => tasks * runMs * cpuMilli

/**
 * Draws a job's size, run times and guess.
 *
 * @param random - a source of its own
 * @param kind - what it is drawn from
 * @param id - its name
 * @param isHopeless - every task fails
 */
export const drawJob = (random: Random, kind: JobKind, id: string, isHopeless: boolean): SimulatedJob => {
  const count = Math.min(kind.tasksMost, Math.max(1, Math.round(drawLogNormal(random, kind.tasks, kind.tasksSpread))))
  const meanMs = drawLogNormal(random, kind.runMs, kind.runSpread)
  const need = { cpuMilli: Math.max(1, Math.round(drawLogNormal(random, kind.cpuMilli, kind.cpuSpread))), memoryMb: kind.memoryMb }
  const tasks = Array.from({ length: count }, (): SimulatedTask => ({
    runMs: drawLogNormal(random, meanMs, kind.taskSpread), fails: isHopeless || random() < kind.failShare, need
  }))
  const work = tasks.reduce((sum, { runMs }) => sum + runMs * need.cpuMilli, 0)
  return {
    id,
    kind,
    tasks,
    estimateMs: Math.max(1, Math.round(drawLogNormal(random, meanMs, kind.guessSpread))),
    longestRunMs: Math.max(...tasks.map(({ runMs }) => runMs)),
    weight: kind.worth * Math.min(4, 0.3 + 0.7 * work / meanWork(kind))
  }
}
