/** HTTP status from which on the response of an endpoint is an error. */
const FIRST_ERROR_STATUS = 400;

/** Whether an endpoint has responded with an error. @example isErrorStatus(404) // true */
export const isErrorStatus = (status: number): boolean => status >= FIRST_ERROR_STATUS;
