import type { DialHandle } from './entryDialer.js'

/** What the successive sessions with one entry are kept for. */
export interface KeptSession extends Pick<DialHandle, 'signal' | 'retired' | 'onEntries'> {
  /** A session was opened; another one may still be open. */
  onOpen: () => void
  /** A session that was open has ended. */
  onClosed: () => void
  /** Another connection has taken the place of one that is silent. */
  onReplaced: () => void
}

/**
 * Runs a session with an entry. If its connection is suspected to be silent, another
 * session is opened beside it, and takes its place unless frames arrive on the first
 * one meanwhile. So the entry is without the agent for a round trip instead of a
 * timeout, and an entry that is only slow keeps its sessions.
 *
 * @param dial - runs one session; resolves when it has ended
 * @param kept - ends the sessions, and is notified of their events
 * @returns resolves once the session and all that replaced it have ended
 */
export const keepSession = (dial: (handle: DialHandle) => Promise<void>, { signal, retired, onEntries, onOpen, onClosed, onReplaced }: KeptSession): Promise<void> => {
  const run = async (isNeeded: () => boolean, replacePrevious: () => void): Promise<void> => {
    const replaced = new AbortController()
    let isOpen = false
    let replacement: Promise<void> | undefined
    await dial({
      signal: AbortSignal.any([signal, replaced.signal]),
      retired,
      onEntries,
      isNeeded,
      onOpen: () => {
        isOpen = true
        onOpen()
        replacePrevious()
      },
      onSuspected: (isSilent) => {
        const replace = (): void => {
          replaced.abort()
          onReplaced()
        }
        replacement ??= run(isSilent, replace).finally(() => { replacement = undefined })
      }
    })
    if (isOpen) onClosed()
    await replacement
  }
  return run(() => true, () => {})
}
