/** Limits that keep the cost of one evaluation small; `docs/DESIGN.md` states the worst case. */
export const POLICY_LIMITS = {
  maxSourceLength: 4096,
  maxAstNodes: 100,
  maxDepth: 24,
  maxListElements: 16,
  maxMapEntries: 16,
  maxCallArguments: 8,
  maxLabels: 32,
  maxLabelLength: 256
} as const

/** Macros that loop over a list or map; they must not be nested. */
export const LOOP_MACROS: ReadonlySet<string> = new Set(['all', 'exists', 'exists_one', 'map', 'filter'])

/** Functions that policies must not call: the library's regular expressions backtrack without bound. */
export const FORBIDDEN_CALLS: ReadonlySet<string> = new Set(['matches'])

/** Largest absolute value of a number that a policy may return. */
export const MAX_POLICY_NUMBER = 1_000_000_000
