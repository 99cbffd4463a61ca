/**
 * The newest configuration document that a process has seen, for those that
 * cannot read it themselves.
 *
 * Invariant: the version only grows.
 */
export class ConfigCopy {
  private current: { version: bigint, document: Uint8Array } = { version: 0n, document: new Uint8Array() }

  /** 0 while none is held. */
  get version (): bigint {
    return this.current.version
  }

  get document (): Uint8Array {
    return this.current.document
  }

  /**
   * Takes a document if it is newer.
   *
   * @returns true if it was taken
   */
  update (version: bigint, document: Uint8Array): boolean {
    if (version <= this.current.version) return false
    this.current = { version, document }
    return true
  }
}
