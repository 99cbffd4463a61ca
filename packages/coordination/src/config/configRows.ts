/** Keys and key prefixes of the configuration's rows in the store table. */
export const CONFIG_ROWS = {
  head: 'config/head',
  workspacePrefix: 'config/workspace/',
  policyPrefix: 'config/policy/',
  zonePrefix: 'config/zone/',
  historyPrefix: 'config/history/'
} as const

/** Kinds of configuration records, and so of changes. */
export const CONFIG_KINDS = { workspace: 'workspace', policy: 'policy', zone: 'zone' } as const
/** A kind of configuration record. */
export type ConfigKind = typeof CONFIG_KINDS[keyof typeof CONFIG_KINDS]

/** Digits of the largest 64-bit version, so that keys sort like versions. */
const VERSION_DIGITS = 20

/** Key of the history row of a change; these keys sort in the order of their versions. */
export const historyKey = (version: bigint): string =>
  CONFIG_ROWS.historyPrefix + version.toString().padStart(VERSION_DIGITS, '0')

/** Prefix of the row keys of each kind. */
export const CONFIG_PREFIXES: Readonly<Record<ConfigKind, string>> = {
  workspace: CONFIG_ROWS.workspacePrefix,
  policy: CONFIG_ROWS.policyPrefix,
  zone: CONFIG_ROWS.zonePrefix
}

/** Key of the row of one workspace, policy or zone. */
export const configKey = (kind: ConfigKind, name: string): string => CONFIG_PREFIXES[kind] + name
