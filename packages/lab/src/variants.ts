import { PLAIN_POLICY, POLICY } from '@hazellift/decisions'
import type { Policy } from '@hazellift/decisions'

const DECISIONS = Object.keys(POLICY) as Array<keyof Policy>

/**
 * What can be compared: the product's policy, the plain one, and the product's
 * with one decision replaced by the plain way, under the name `plain-DECISION`.
 */
export const VARIANTS: ReadonlyMap<string, Policy> = new Map<string, Policy>([
  ['product', POLICY],
  ['plain', PLAIN_POLICY],
  ...DECISIONS.map((name): [string, Policy] => [`plain-${name}`, { ...POLICY, [name]: PLAIN_POLICY[name] }])
])
