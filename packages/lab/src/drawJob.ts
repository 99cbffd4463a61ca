import type { Random } from '@hazellift/common'
import { drawLogNormal } from './draw.js'
import type { SimulatedTask } from './labEndpoint.js'
import type { JobKind } from './scenario.js'

/** A job with the actual run times of its tasks, which the decisions under test do not see. */
export interface SimulatedJob {
  id: string
  kind: JobKind
  tasks: SimulatedTask[]
  /** The caller's estimate of one task's run time, in ms. */
  estimateMs: number
  /** Run time of its longest task at an endpoint of speed 1, in ms. */
  longestRunMs: number
  /** Its weight in all figures: the worth of its kind, times 0.3 plus 0.7 of its work relative to the mean work of its kind, at most 4. */
  weight: number
}

const meanWork = ({ tasks, runMs, cpuMilli }: JobKind): number => tasks * runMs * cpuMilli

/**
 * Draws a job's size, run times and estimate.
 *
 * @param random - the random stream of this kind
 * @param kind - gives the means and spreads
 * @param id - id of the job
 * @param isHopeless - if true, every task fails
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
