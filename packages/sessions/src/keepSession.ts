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
export const keepSession = (dial: (handle: DialHandle) => Promise<void>, kept: KeptSession): Promise<void> => new Promise((resolve) => {
  const { signal, retired, onEntries, onOpen, onClosed, onReplaced } = kept
  let running = 0

  const run = async (isNeeded: () => boolean, replacePrevious: () => void): Promise<void> => {
    // Not `AbortSignal.any`: Node.js 20 keeps a reference for each signal that depends on one that lives on.
    const ending = new AbortController()
    const end = (): void => ending.abort()
    signal.addEventListener('abort', end)
    if (signal.aborted) end()
    let isOpen = false
    let isBeingReplaced = false
    running++
    await dial({
      signal: ending.signal,
      retired,
      onEntries,
      isNeeded,
      onOpen: () => {
        isOpen = true
        onOpen()
        replacePrevious()
      },
      onSuspected: (isSilent) => {
        if (isBeingReplaced) return
        isBeingReplaced = true
        const replace = (): void => {
          end()
          onReplaced()
        }
        void run(isSilent, replace).finally(() => { isBeingReplaced = false })
      }
    })
    signal.removeEventListener('abort', end)
    if (isOpen) onClosed()
    if (--running === 0) resolve()
  }

  void run(() => true, () => {})
})
