import { createHash } from 'node:crypto'

/** Bytes of the digest used as the score: the most that a number represents exactly. */
const SCORE_BYTES = 6

/**
 * Score of a node for a key in rendezvous hashing. Processes that know the same
 * nodes choose the same ones for a key, and when a node is added or removed only
 * the keys for which it scores highest are reassigned. Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", 1998.
 *
 * @param node - name of the node
 * @param key - the key to place
 * @returns an integer, the same in every process; the highest score wins
 */
export const rendezvousScore = (node: string, key: string): number =>
  createHash('sha1').update(`${node}\n${key}`).digest().readUIntBE(0, SCORE_BYTES)
