import process from 'node:process';

/**
 * Has the runtime write a report to standard error, as one line, before it ends the process for an error
 * of its own, for example for want of memory: no code of the project runs then. The report has some ten
 * kilobytes; a reader of standard error that hangs gets a part of it and does not hold up the end.
 *
 * @example
 * reportFatalErrors();
 */
export const reportFatalErrors = (): void => {
  const { report } = process;
  if (report === undefined) return;
  report.reportOnFatalError = true;
  report.compact = true;
  report.filename = 'stderr';
  // Its list of connections can have thousands of entries, each with a look-up of a name.
  Object.assign(report, { excludeNetwork: true });
};
