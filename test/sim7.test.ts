import { SimSuite } from "./simSuite";

SimSuite.part(7, 7);
