import { seededRandom } from '@hazellift/common'
import type { Random } from '@hazellift/common'

/** Spreads consecutive seeds, because generators with consecutive seeds give similar first numbers. */
const SEED_MULTIPLIER = 0x9E3779B1

/**
 * An independent random stream. Each purpose has its own, so that the numbers one of
 * them draws do not shift those of another: two runs with one seed then differ only by
 * what is compared.
 *
 * @param seed - seed of the run
 * @param stream - number of the stream, from 0 to 63
 */
export const randomStream = (seed: number, stream: number): Random =>
  seededRandom(Math.imul(seed * 64 + stream + 1, SEED_MULTIPLIER))

/** A standard normal deviate, by the Box-Muller transform. */
const drawNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())

/** A log-normal deviate with this mean; `spread` is the standard deviation of its logarithm. */
export const drawLogNormal = (random: Random, mean: number, spread: number): number =>
  mean * Math.exp(spread * drawNormal(random) - spread * spread / 2)

/** An exponential deviate: the time between two events of a Poisson process, in ms. */
export const drawExponential = (random: Random, meanMs: number): number => -Math.log(1 - random()) * meanMs

/** A random sample of a share of a list, without replacement; at least one item unless the share is 0. */
export const sampleShare = <T>(random: Random, list: readonly T[], share: number): T[] => {
  const remaining = [...list]
  const count = share === 0 ? 0 : Math.min(remaining.length, Math.max(1, Math.round(remaining.length * share)))
  return Array.from({ length: count }, () => remaining.splice(Math.floor(random() * remaining.length), 1)[0]!)
}
