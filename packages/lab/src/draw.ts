import { seededRandom } from '@hazellift/common'
import type { Random } from '@hazellift/common'

/** First numbers of neighbouring seeds are alike; far ones are not. */
const SEED_STEP = 0x9E3779B1

/**
 * A source of its own for one purpose, so that what one part draws changes
 * nothing for the others: runs of one seed then differ by what is compared alone.
 */
export const sourceOf = (seed: number, purpose: number): Random =>
  seededRandom(Math.imul(seed * 64 + purpose + 1, SEED_STEP))

/** A normal deviate (Box and Muller). */
const normal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())

/** Around the mean, with this standard deviation of the logarithm. */
export const around = (random: Random, mean: number, spread: number): number =>
  mean * Math.exp(spread * normal(random) - spread * spread / 2)

/** Time until the next of events that come at this mean distance by chance. */
export const gap = (random: Random, meanMs: number): number => -Math.log(1 - random()) * meanMs

/** A part of a list, at least one if the part is not empty. */
export const drawShare = <T>(random: Random, list: readonly T[], share: number): T[] => {
  const left = [...list]
  const count = share === 0 ? 0 : Math.min(left.length, Math.max(1, Math.round(left.length * share)))
  return Array.from({ length: count }, () => left.splice(Math.floor(random() * left.length), 1)[0]!)
}
